// Names that must not be mixed up: a node is one of our processes, a boot one run of it, an instance
// one run of a server as the platform lists it, a request one call of one caller.
import { randomUUID } from 'node:crypto';

export declare namespace Id {
  type Node = string & { readonly kind: 'node' };
  type Boot = string & { readonly kind: 'boot' };
  type Instance = string & { readonly kind: 'instance' };
  type Group = string & { readonly kind: 'group' };
  type Zone = string & { readonly kind: 'zone' };
  type Region = string & { readonly kind: 'region' };
  type Home = string & { readonly kind: 'home' };
  type Team = string & { readonly kind: 'team' };
  type Request = string & { readonly kind: 'request' };
}

export const Id = {
  boot: (): Id.Boot => randomUUID() as Id.Boot,
  request: (): Id.Request => randomUUID() as Id.Request,
  node: (text: string): Id.Node => text as Id.Node,
  zone: (text: string): Id.Zone => text as Id.Zone,
};

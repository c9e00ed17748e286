/** Branded string types for identifiers, so that the compiler rejects one kind where another is expected. */
import { randomUUID } from 'node:crypto';

/** The kinds of identifiers. */
export declare namespace Id {
  /** One process of this system. */
  type Node = string & { readonly kind: 'node' };
  /** One run of a node. */
  type Boot = string & { readonly kind: 'boot' };
  /** One run of a backend server, as the platform lists it. */
  type Instance = string & { readonly kind: 'instance' };
  type Group = string & { readonly kind: 'group' };
  type Zone = string & { readonly kind: 'zone' };
  type Region = string & { readonly kind: 'region' };
  type Home = string & { readonly kind: 'home' };
  type Team = string & { readonly kind: 'team' };
  /** One request of one client. */
  type Request = string & { readonly kind: 'request' };
}

/** Creates identifiers. */
export const Id = {
  boot: (): Id.Boot => randomUUID() as Id.Boot,
  request: (): Id.Request => randomUUID() as Id.Request,
  node: (text: string): Id.Node => text as Id.Node,
  zone: (text: string): Id.Zone => text as Id.Zone,
};

// Who is at the other end? Each new connection asks before it carries a request. The service is proved
// by what the group declares, or for model servers by their listing every model of the group; the
// instance by the declared place, or by the x-instance-id header wherever a server sends one.
import { Failure } from '../common/failure.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Document } from '../manifest/document.js';

export type Identity = { readonly headers: Readonly<Record<string, unknown>>; readonly body: unknown };

const follow = (value: unknown, pointer: string): unknown =>
  pointer
    .split('/')
    .slice(1)
    .map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    .reduce<unknown>(
      (at, key) => (typeof at === 'object' && at !== null ? (at as Record<string, unknown>)[key] : undefined),
      value,
    );

const readPlace = (identity: Identity, place: Document.Location): unknown =>
  place.header !== undefined
    ? identity.headers[place.header]
    : place.pointer !== undefined
      ? follow(identity.body, place.pointer)
      : undefined;

const listedModels = (body: unknown): readonly unknown[] => {
  const data = follow(body, '/data');
  return Array.isArray(data) ? data.map((entry) => follow(entry, '/id')) : [];
};

export const Identity = {
  prove(identity: Identity, server: Compiled.Server, group: Compiled.Group): void {
    const { service, instance } = group.identity;
    const fail = (text: string, found: unknown) => {
      throw Failure.of('identity', text, { instance: server.instance, group: group.name, found });
    };
    if (service) {
      const found = readPlace(identity, service.at);
      if (found !== service.is) fail('another service answers there', found);
    }
    const models = listedModels(identity.body);
    if (group.kind === 'model' && !group.models.every((model) => models.includes(model)))
      fail('the models of the group are not served there', models);
    const found = instance ? readPlace(identity, instance) : identity.headers['x-instance-id'];
    if (found === undefined && !instance) return;
    if (found !== server.instance) fail('another instance answers there', found);
  },
};

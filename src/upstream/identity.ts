/**
 * Verifies who is at the other end of a new connection, before it carries a request. The service is verified by what the
 * group declares, or for model servers by their listing every model of the group; the instance by the declared place, or
 * by the x-instance-id header wherever a server sends one.
 */
import { Failure } from '../common/failure.js';
import type { Compiled } from '../manifest/compiled.js';
import type { Document } from '../manifest/document.js';

/** The answer of a server to the identity request. */
export type Identity = { readonly headers: Readonly<Record<string, unknown>>; readonly body: unknown };

/** Resolves a JSON pointer (RFC 6901). */
const resolvePointer = (value: unknown, pointer: string): unknown =>
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
      ? resolvePointer(identity.body, place.pointer)
      : undefined;

const listedModels = (body: unknown): readonly unknown[] => {
  const data = resolvePointer(body, '/data');
  return Array.isArray(data) ? data.map((entry) => resolvePointer(entry, '/id')) : [];
};

/** Checks answers to the identity request. */
export const Identity = {
  /** Throws a failure of kind `identity` unless the answer is that of the server and its group. */
  verify(identity: Identity, server: Compiled.Server, group: Compiled.Group): void {
    const { service, instance } = group.identity;
    const fail = (text: string, found: unknown) => {
      throw Failure.of('identity', text, { instance: server.instance, group: group.name, found });
    };
    if (service) {
      const found = readPlace(identity, service.at);
      if (found !== service.is) fail('another service answered', found);
    }
    const models = listedModels(identity.body);
    if (group.kind === 'model' && !group.models.every((model) => models.includes(model)))
      fail("the server does not list all of the group's models", models);
    const found = instance ? readPlace(identity, instance) : identity.headers['x-instance-id'];
    if (found === undefined && !instance) return;
    if (found !== server.instance) fail('another instance answered', found);
  },
};

/**
 * Applies the cache isolation of a tenant to the requests sent to servers: adds the salt if the server group expects one,
 * and removes client fields and headers of any name that some group uses for the salt. If the manifest configures no
 * isolation, requests are forwarded unchanged.
 */
import type { Wall } from '../manifest/wall.js';
import type { Call } from './call.js';

/** The request body sent to a server. */
export type CacheSalt = { readonly body: Buffer | null };

/** Rewrites request bodies and headers for cache isolation. */
export const CacheSalt = {
  /** Whether the call has a body that is not a JSON object, so that no salt can be added to it. */
  hasOpaqueBody: ({ body, prompt }: Call): boolean =>
    body !== undefined && body.length > 0 && prompt?.json === undefined,
  /** Returns the body for a server, with the model of the rule step and the salt of the tenant. */
  body({ wall, body, prompt, compiled }: Call, model: string | undefined, way: Wall.Mechanism | undefined) {
    const json = prompt?.json;
    if (!json || (model === undefined && !wall)) return body ?? null;
    const fields = wall ? compiled?.walls?.fields : undefined;
    const kept = Object.entries(json).filter(([name]) => fields?.has(name) !== true);
    return Buffer.from(
      JSON.stringify({
        ...Object.fromEntries(kept),
        ...(model === undefined ? {} : { model }),
        ...(wall && way?.kind === 'field' ? { [way.name]: wall.salt } : {}),
      }),
    );
  },
  /** Returns the headers for a server, with the salt of the tenant. */
  headers(
    { wall, compiled }: Call,
    way: Wall.Mechanism | undefined,
    headers: Readonly<Record<string, string>>,
  ): Readonly<Record<string, string>> {
    if (!wall) return headers;
    const kept = Object.entries(headers).filter(([name]) => compiled?.walls?.headers.has(name) !== true);
    return {
      ...Object.fromEntries(kept),
      ...(way?.kind === 'header' ? { [way.name]: wall.salt } : {}),
    };
  },
};

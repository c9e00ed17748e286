// What a server is sent of a call behind a wall: the salt where the server's group wants it, and nothing that the
// caller itself put where any group takes a salt. Without walls in the manifest a call goes as it came.
import type { Wall } from '../manifest/wall.js';
import type { Call } from './call.js';

export type CacheSalt = { readonly body: Buffer | null };

export const CacheSalt = {
  /** A body that no salt can be written into. */
  hasOpaqueBody: ({ body, prompt }: Call): boolean =>
    body !== undefined && body.length > 0 && prompt?.json === undefined,
  body({ wall, body, prompt, compiled }: Call, model: string | undefined, way: Wall.Way | undefined) {
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
  headers(
    { wall, compiled }: Call,
    way: Wall.Way | undefined,
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

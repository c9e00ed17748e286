/** Asks other programs for small documents by HTTP, over one kept connection to each address. */
import { HttpClient } from './http-client.js';

/** Reads documents of other programs. */
export type HttpGet = {
  /** Reads what stands at the path; fails when all of it has not come in time. */
  readonly read: (address: string, path: string) => Promise<HttpGet.Response>;
};

/** What stands at a path. */
export declare namespace HttpGet {
  type Response = { readonly status: number; readonly body: string };
}

/** Makes readers. */
export const HttpGet = {
  /** An answer has to come whole within so many milliseconds. */
  of(within: number): HttpGet {
    const client = HttpClient.of({ timeout: within, maxConnections: 1 });
    return {
      async read(address, path) {
        const { status, body } = await client.call(address, { path });
        return { status, body: body.toString('utf8') };
      },
    };
  },
};

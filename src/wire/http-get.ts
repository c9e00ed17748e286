/** Reads small documents from other programs by HTTP, over one keep-alive connection to each address. */
import { HttpClient } from './http-client.js';

/** Reads documents from other programs. */
export type HttpGet = {
  /** Reads the document at the path; rejects when it does not arrive completely within the timeout. */
  readonly read: (address: string, path: string) => Promise<HttpGet.Response>;
};

/** The response to a read. */
export declare namespace HttpGet {
  type Response = { readonly status: number; readonly body: string };
}

/** Creates readers. */
export const HttpGet = {
  /** Creates a reader; each response must be complete within the timeout, in milliseconds. */
  of(timeoutMs: number): HttpGet {
    const client = HttpClient.of({ timeout: timeoutMs, maxConnections: 1 });
    return {
      async read(address, path) {
        const { status, body } = await client.call(address, { path });
        return { status, body: body.toString('utf8') };
      },
    };
  },
};

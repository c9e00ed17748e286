/** HTTP client of the control API. The addresses are tried in turn, since any core accepts requests. */

import { request } from 'undici';
import { Failure } from '../common/failure.js';

/** A client of the control API. */
export type Client = {
  readonly call: (
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<Client.Response>;
};

export declare namespace Client {
  /** A response with its JSON body decoded. */
  type Response = {
    readonly status: number;
    readonly headers: Readonly<Record<string, unknown>>;
    readonly body: unknown;
  };
}

/** Whether no connection was made, so that the request has not reached this address. */
const isUnsent = (error: unknown): boolean =>
  ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(
    (error as NodeJS.ErrnoException).code ?? '',
  );

/** Builds clients of the control API. */
export const Client = {
  /**
   * A client for these addresses. A GET is tried at each; any other request goes on to the next address only if it was not
   * sent, since it may have changed something.
   */
  of(addresses: readonly string[], token: string): Client {
    return {
      async call(method, path, body, headers = {}) {
        const failures: string[] = [];
        for (const address of addresses) {
          try {
            const response = await request(`http://${address}${path}`, {
              method,
              headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers },
              body: body === undefined ? null : JSON.stringify(body),
              headersTimeout: 12_000,
            });
            const text = await response.body.text();
            return {
              status: response.statusCode,
              headers: response.headers,
              body: text === '' ? {} : JSON.parse(text),
            };
          } catch (error) {
            failures.push(`${address}: ${Failure.text(error)}`);
            if (method !== 'GET' && !isUnsent(error)) break;
          }
        }
        throw Failure.of(
          'link',
          `no control node answered (${failures.join('; ')}); --control takes their HTTP addresses, for example 10.0.0.1:7080`,
        );
      },
    };
  },
};

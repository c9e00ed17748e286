// The CLI's way to the control plane: the addresses are tried in turn, for any core takes a call.
import { request } from 'undici';
import { Failure } from '../common/failure.js';

export type Client = {
  readonly call: (
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<Client.Response>;
};

export declare namespace Client {
  type Response = {
    readonly status: number;
    readonly headers: Readonly<Record<string, unknown>>;
    readonly body: unknown;
  };
}

const mayTryNext = (error: unknown): boolean =>
  ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(
    (error as NodeJS.ErrnoException).code ?? '',
  );

export const Client = {
  of(places: readonly string[], token: string): Client {
    return {
      async call(method, path, body, headers = {}) {
        const said: string[] = [];
        for (const place of places) {
          try {
            const response = await request(`http://${place}${path}`, {
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
            said.push(`${place}: ${Failure.text(error)}`);
            if (method !== 'GET' && !mayTryNext(error)) break;
          }
        }
        throw Failure.of(
          'link',
          `no control node answered (${said.join('; ')}); --control takes their http addresses, as 10.0.0.1:7080`,
        );
      },
    };
  },
};

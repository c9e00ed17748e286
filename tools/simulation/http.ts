// HTTP between simulated hosts: a server that hands each request to the product's own `fetch`, and calls with their
// connect and answer timeouts. A request that was sent is handled even if its caller has given up since.
import { EventEmitter } from 'node:events';
import type { Network } from './network.js';
import type { Process } from './process.js';

type Handler = (request: Request) => Response | Promise<Response>;
type Arrival = {
  readonly client: Process;
  readonly accepted: (
    server: Process,
    handle: (call: Http.Call, give: (answer: Http.Answer) => void) => void,
  ) => void;
};

export declare namespace Http {
  type Call = {
    readonly to: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array | undefined;
    readonly connectWithin: number;
    readonly answerWithin: number;
  };
  type Answer = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
  };
}

export type Http = {
  readonly call: (network: Network, own: Process, call: Http.Call) => Promise<Http.Answer>;
  readonly server: (network: Network, own: Process, fetch: Handler) => EventEmitter;
};

const failure = (code: string): Error => Object.assign(new Error(`call: ${code}`), { code });

const answerOf = async (fetch: Handler, call: Http.Call): Promise<Http.Answer> => {
  const body = call.method === 'GET' || call.body === undefined ? null : call.body;
  const request = new Request(`http://${call.to}${call.path}`, {
    method: call.method,
    headers: { ...call.headers },
    body: body as string | null,
  });
  const response = await fetch(request);
  const bytes = Buffer.from(await response.arrayBuffer());
  return { status: response.status, headers: Object.fromEntries(response.headers), body: bytes };
};

export const Http: Http = {
  call: (network, own, call) =>
    new Promise((resolve, reject) => {
      const cut = call.to.lastIndexOf(':');
      const ip = call.to.slice(0, cut);
      const port = Number(call.to.slice(cut + 1));
      const host = network.host(ip);
      let isOver = false;
      const finish = (work: () => void) => {
        if (isOver) return;
        isOver = true;
        timer.cancel();
        own.run(work);
      };
      const fail = (code: string) => finish(() => reject(failure(code)));
      let timer = own.after(call.connectWithin, () => fail('ETIMEDOUT'));
      const back = (work: () => void, size = 40) => network.carry(ip, own.ip, size, work);
      const arrival: Arrival = {
        client: own,
        accepted(server, handle) {
          back(() => {
            if (isOver) return;
            timer.cancel();
            timer = own.after(call.answerWithin, () => fail('ETIMEDOUT'));
            network.carry(own.ip, ip, 200 + (call.body?.length ?? 0), () => {
              if (!server.isAlive()) return back(() => fail('ECONNRESET'));
              const forget = server.onEnd((isClean) => {
                if (isClean) back(() => fail('ECONNRESET'));
              });
              handle(call, (answer) => {
                forget();
                back(() => finish(() => resolve(answer)), answer.body.length + 200);
              });
            });
          });
        },
      };
      network.carry(own.ip, ip, 40, () => {
        const listener = host.listeners.get(port);
        if (listener) listener(arrival);
        else back(() => fail('ECONNREFUSED'));
      });
    }),
  server(network, own, fetch) {
    const server = new EventEmitter();
    const host = network.host(own.ip);
    let port = 0;
    const handle = (call: Http.Call, give: (answer: Http.Answer) => void) =>
      own.run(() => {
        answerOf(fetch, call).then(
          (answer) => {
            if (own.isAlive()) give(answer);
          },
          (error) => give({ status: 500, headers: {}, body: Buffer.from(String(error)) }),
        );
      });
    return Object.assign(server, {
      fetch,
      listen(wanted: number, _host: string, ready: () => void) {
        port = wanted;
        host.listeners.set(port, (arrival) => (arrival as Arrival).accepted(own, handle));
        own.after(0.05, ready);
        return server;
      },
      address: () => ({ port }),
      closeAllConnections() {},
      close(done?: () => void) {
        host.listeners.delete(port);
        own.after(0.05, () => done?.());
        return server;
      },
    });
  },
};

/**
 * A simulated list API of the platform: paged, rate-limited, and changed by the test. Tests can wait for polls, so that none
 * has to sleep.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A simulated list API. */
export type ListServer = {
  readonly address: string;
  instances: ListServer.Instance[];
  perPage: number;
  status: number;
  readonly calls: () => number;
  /** Resolves once that many more polls have received the whole list, or an error if `status` is not 200. */
  readonly polls: (count: number) => Promise<void>;
  readonly stop: () => Promise<void>;
};

/** Entries of the list. */
export declare namespace ListServer {
  type Instance = Record<string, unknown> & { readonly 'instance-id': string };
}

/** Starts simulated list APIs. */
export const ListServer = {
  instance: (id: string, zone: string, more: Record<string, unknown> = {}): ListServer.Instance => ({
    'instance-id': id,
    'target-service': 'huvo11a',
    address: '127.0.0.1:9',
    zone,
    revision: 'v1',
    capacity: 64,
    state: 'available',
    'warmup-left-ms': 0,
    phase: 'combined',
    models: [],
    ...more,
  }),
  async start(): Promise<ListServer> {
    let calls = 0;
    let polls = 0;
    const waiting = new Set<() => void>();
    const server = createServer((request, response) => {
      calls += 1;
      const from = Number(
        new URL(request.url ?? '', 'http://list').searchParams.get('page-token')?.slice(2) ?? 0,
      );
      const to = from + listServer.perPage;
      const isLast = to >= listServer.instances.length;
      response.writeHead(listServer.status, { 'content-type': 'application/json' });
      const page = {
        instances: listServer.instances.slice(from, to),
        'next-token': isLast ? null : `p-${to}`,
      };
      response.end(listServer.status === 200 ? JSON.stringify(page) : '{}');
      if (!isLast && listServer.status === 200) return;
      polls += 1;
      for (const check of [...waiting]) check();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const listServer: ListServer = {
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      instances: [],
      perPage: 50,
      status: 200,
      calls: () => calls,
      polls(count) {
        const target = polls + count;
        return new Promise((resolve) => {
          const check = () => {
            if (polls < target) return;
            waiting.delete(check);
            resolve();
          };
          waiting.add(check);
        });
      },
      stop: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          server.closeAllConnections();
        }),
    };
    return listServer;
  },
};

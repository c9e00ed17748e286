// A stand-in for the platform's list of servers: paged, with a rate, and changed by the test. What a poll got
// is told to those that wait for it, so that no test sleeps.
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

export type ListServer = {
  readonly address: string;
  instances: ListServer.Instance[];
  perPage: number;
  status: number;
  readonly calls: () => number;
  /** Resolves once that many more polls got the whole list, or with another status, their denial. */
  readonly polls: (count: number) => Promise<void>;
  readonly stop: () => Promise<void>;
};

export declare namespace ListServer {
  type Instance = Record<string, unknown> & { readonly 'instance-id': string };
}

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
      const to = from + made.perPage;
      const isLast = to >= made.instances.length;
      response.writeHead(made.status, { 'content-type': 'application/json' });
      const page = { instances: made.instances.slice(from, to), 'next-token': isLast ? null : `p-${to}` };
      response.end(made.status === 200 ? JSON.stringify(page) : '{}');
      if (!isLast && made.status === 200) return;
      polls += 1;
      for (const look of [...waiting]) look();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const made: ListServer = {
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      instances: [],
      perPage: 50,
      status: 200,
      calls: () => calls,
      polls(count) {
        const until = polls + count;
        return new Promise((resolve) => {
          const look = () => {
            if (polls < until) return;
            waiting.delete(look);
            resolve();
          };
          waiting.add(look);
        });
      },
      stop: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          server.closeAllConnections();
        }),
    };
    return made;
  },
};

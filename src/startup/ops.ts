/** The operations port of every program: health, readiness, metrics and the log. */
import type { Server } from 'node:http';
import { Hono } from 'hono';
import type { LogBuffer } from '../log/log-buffer.js';
import { BoundedServer } from '../overload/bounded-server.js';
import type { Overload } from '../overload/overload.js';
import type { Metrics } from './metrics.js';

/** The HTTP application of the operations port, and a server for it. */
export type Ops = { readonly app: Hono; readonly server: (overload: Overload) => Server };

/** Creates operations ports. */
export const Ops = {
  of(options: {
    /** Why the program is not ready, or undefined when it is. */
    readonly isReady: () => string | undefined;
    readonly metrics: Metrics;
    readonly ring: LogBuffer;
    /** Further fields of the response to `/health`. */
    readonly describe: () => object;
    /** A further path that answers as `/ready` does. */
    readonly readyPath?: string | undefined;
  }): Ops {
    const app = new Hono();
    app.get('/health', (context) => context.json({ status: 'up', ...options.describe() }));
    const readyPaths = ['/ready', ...(options.readyPath === undefined ? [] : [options.readyPath])];
    app.on('GET', readyPaths, (context) => {
      const reason = options.isReady();
      return reason === undefined
        ? context.json({ ready: true })
        : context.json({ ready: false, reason }, 503);
    });
    app.get('/metrics', async (context) => {
      const { text, type } = await options.metrics.write();
      return context.body(text, 200, { 'content-type': type });
    });
    app.get('/log', (context) => context.json(options.ring.entries()));
    return { app, server: (overload) => BoundedServer.of(app.fetch, overload) };
  },
};

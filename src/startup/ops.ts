// The operations port that every program has: health, readiness, metrics and the log ring.

import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import type { LogBuffer } from '../log/log-buffer.js';
import type { Metrics } from './metrics.js';

export type Ops = { readonly app: Hono; readonly server: () => Server };

export const Ops = {
  of(terms: {
    readonly isReady: () => string | undefined;
    readonly metrics: Metrics;
    readonly ring: LogBuffer;
    readonly describe: () => object;
    readonly readyPath?: string | undefined;
  }): Ops {
    const app = new Hono();
    app.get('/health', (context) => context.json({ status: 'up', ...terms.describe() }));
    const readyPaths = ['/ready', ...(terms.readyPath === undefined ? [] : [terms.readyPath])];
    app.on('GET', readyPaths, (context) => {
      const reason = terms.isReady();
      return reason === undefined
        ? context.json({ ready: true })
        : context.json({ ready: false, reason }, 503);
    });
    app.get('/metrics', async (context) => {
      const { text, type } = await terms.metrics.write();
      return context.body(text, 200, { 'content-type': type });
    });
    app.get('/log', (context) => context.json(terms.ring.entries()));
    return {
      app,
      server: () =>
        createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false }) as unknown as Server,
    };
  },
};

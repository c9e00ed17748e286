// The callers' port: every call goes through the chain of filters, each of which may answer.

import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import type { Call } from './call.js';
import type { Dialect } from './dialect.js';
import type { Filter } from './filter.js';
import { Admit } from './filters/admit.js';
import { Attempt } from './filters/attempt.js';
import { Commit } from './filters/commit.js';
import { Home } from './filters/home.js';
import { MatchRule } from './filters/match-rule.js';
import { Quota } from './filters/quota.js';
import { Responses } from './responses.js';

export type ProxyServer = { readonly server: Server };

const listModels: (needs: Filter.Needs) => Filter = () => async (context, next) => {
  const { call } = context.var;
  const { compiled, team } = call;
  if (context.req.path !== '/v1/models' || context.req.method !== 'GET' || !compiled || !team) return next();
  const models = new Set(
    compiled.rules
      .filter((rule) => rule.teams === undefined || rule.teams.includes(team.name))
      .flatMap((rule) => rule.match.models ?? []),
  );
  context.header('bramblebend-request-id', call.id);
  return context.json({
    object: 'list',
    data: [...models].map((id) => ({ id, object: 'model', created: 0, owned_by: 'bramblebend' })),
  });
};

const begin =
  (
    active: { readonly change: (by: number) => void; readonly isDraining: () => boolean },
    dialect: Dialect,
  ): Filter =>
  async (context, next) => {
    const { outgoing } = context.env;
    const left = new AbortController();
    outgoing.once('close', () => {
      active.change(-1);
      if (!outgoing.writableFinished) left.abort(Failure.of('left', 'the client left'));
    });
    active.change(1);
    if (active.isDraining()) outgoing.shouldKeepAlive = false;
    const asked = dialect.read(context.env.incoming.headers);
    const arrived = Moment.now();
    context.set('call', { id: asked.id, arrived, left: left.signal, dialect, asked });
    return next();
  };

export const ProxyServer = {
  of(
    needs: Filter.Needs,
    probes: {
      readonly isReady: () => string | undefined;
      readonly isDraining: () => boolean;
      readonly change: (by: number) => void;
    },
  ): ProxyServer {
    const app = new Hono<Call.Env>();
    const isOwn = needs.dialect.isOpenAi;
    if (isOwn) app.get('/health', (context) => context.json({ status: 'up' }));
    if (isOwn)
      app.get('/ready', (context) => {
        const reason = probes.isReady();
        return reason === undefined
          ? context.json({ ready: true })
          : context.json({ ready: false, reason }, 503);
      });
    app.use('*', begin(probes, needs.dialect));
    app.use('*', Admit.filter(needs));
    app.use('*', listModels(needs));
    app.use('*', MatchRule.filter(needs));
    app.use('*', Home.filter(needs));
    app.use('*', Quota.filter(needs));
    app.use('*', Attempt.filter(needs));
    app.use('*', Commit.filter(needs));
    app.onError((error, context) => {
      needs.note('failure in a filter', { why: Failure.text(error) });
      const { call } = context.var;
      const mayHaveRun = call?.verdict !== undefined;
      return Responses.refuse(context, {
        status: mayHaveRun ? 502 : 500,
        code: 'internal',
        text: 'something went wrong here',
        ran: 'unknown',
      });
    });
    const server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
      serverOptions: {
        headersTimeout: 10_000,
        requestTimeout: 30_000,
        keepAliveTimeout: 15_000,
        maxHeaderSize: 16 * 1024,
        connectionsCheckingInterval: 2000,
      },
    }) as Server;
    return { server };
  },
};

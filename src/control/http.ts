// The control plane's HTTP interface, for operators and for the platform. Any core takes a call; one
// that does not lead passes it to the primary, once. Nothing else is ever passed on.

import { createHash, timingSafeEqual } from 'node:crypto';
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { request } from 'undici';
import { Tenure } from '../epoch/tenure.js';
import { Mishap } from '../kinds/mishap.js';
import { Revision } from '../kinds/revision.js';
import { Check } from '../manifest/check.js';
import type { Roll } from '../membership/roll.js';
import type { Startup } from '../startup/startup.js';
import { Leave } from './commands/leave.js';
import { PutManifest } from './commands/put-manifest.js';
import { PutServers } from './commands/put-servers.js';
import { Rollback } from './commands/rollback.js';
import type { Core } from './core.js';
import type { Office } from './office.js';
import { ReadManifest } from './queries/read-manifest.js';
import { ReadServers } from './queries/read-servers.js';
import { ReadStatus } from './queries/read-status.js';
import { Responses } from './responses.js';
import type { Rights } from './rights.js';

export type ControlHttp = { readonly server: Server };

export declare namespace ControlHttp {
  type Needs = {
    readonly startup: Startup['control'];
    readonly office: Office;
    readonly core: Core;
    readonly roll: Roll;
    readonly usage: () => object;
    readonly ownHttp: () => string;
    readonly operations: Hono;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

type Env = { Variables: { person: Rights.Person; body: unknown } };
type Handle = (context: Context<Env>) => Promise<Responses> | Responses;

const passedBy = 'bramblebend-passed';
const passWithin = 7000;
const losing = 'what only the missing core holds';
const longestBody = 16 * 1024 * 1024;

const isSame = (a: string, b: string): boolean => {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(a), digest(b));
};

const readTag = (text: string | undefined): Revision | undefined =>
  text === undefined ? undefined : Revision.parse(text.replace(/^W\//, '').replace(/^"(.*)"$/, '$1'));

const give = (context: Context<Env>, response: Responses): Response =>
  context.json(response.body, response.status, { ...response.headers });

const fromMishap = (error: unknown): Responses =>
  Responses.fail(503, 'unconfirmed', Mishap.text(error), { taken: Mishap.info(error).taken ?? 'unknown' });

export const ControlHttp = {
  of(needs: ControlHttp.Needs): ControlHttp {
    const { startup, office, core, roll } = needs;
    const app = new Hono<Env>();
    app.route('/', needs.operations);

    const pass = async (context: Context<Env>): Promise<Response> => {
      const tenure = core.tenure();
      const primary = tenure && Tenure.core(tenure, tenure.primary);
      if (!primary || primary.http === needs.ownHttp() || context.req.header(passedBy) !== undefined)
        return give(
          context,
          Responses.fail(503, 'no_primary', 'no primary is known just now', { taken: 'no' }),
        );
      const names = ['authorization', 'content-type', 'if-match', 'idempotency-key'];
      const headers = Object.fromEntries(
        names.flatMap((name) => {
          const value = context.req.header(name);
          return value === undefined ? [] : [[name, value]];
        }),
      );
      try {
        const body = context.req.method === 'GET' ? null : Buffer.from(await context.req.arrayBuffer());
        const response = await request(`http://${primary.http}${context.req.path}`, {
          method: context.req.method as 'GET',
          headers: { ...headers, [passedBy]: startup.node },
          body,
          headersTimeout: passWithin,
          bodyTimeout: passWithin,
        });
        const kept = ['content-type', 'etag', 'bramblebend-by', 'bramblebend-at', 'bramblebend-node'].flatMap(
          (name) => {
            const value = response.headers[name];
            return value === undefined ? [] : [[name, String(value)] as const];
          },
        );
        return context.body(await response.body.text(), response.statusCode as 200, Object.fromEntries(kept));
      } catch (error) {
        const isDropped = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
        const taken = isDropped || context.req.method === 'GET' ? 'no' : 'unknown';
        return give(
          context,
          Responses.fail(503, 'no_primary', `the primary did not answer: ${Mishap.text(error)}`, { taken }),
        );
      }
    };
    const serve =
      (
        people: readonly { name: string; token: string; teams?: readonly string[] }[],
        handle: Handle,
        isLocal = false,
      ) =>
      async (context: Context<Env>): Promise<Response> => {
        const token = /^Bearer +(\S+)$/i.exec(context.req.header('authorization') ?? '')?.[1] ?? '';
        const person = people.find((one) => isSame(one.token, token));
        if (!person)
          return give(context, Responses.fail(401, 'bad_token', 'the token is missing or unknown'));
        context.set('person', { name: person.name, teams: person.teams });
        if (!isLocal && !core.leading()) return pass(context);
        if (context.req.method !== 'GET') {
          try {
            context.set('body', await context.req.json());
          } catch {
            return give(context, Responses.fail(400, 'bad_json', 'the body is no JSON'));
          }
        }
        try {
          context.header('bramblebend-node', startup.node);
          return give(context, await handle(context));
        } catch (error) {
          needs.note('unconfirmed answer', { path: context.req.path, why: Mishap.text(error) });
          return give(context, fromMishap(error));
        }
      };
    const { operators, platform } = startup;
    const either = [...operators, ...platform];
    const putOf = (context: Context<Env>) => ({
      body: context.var.body,
      ifMatch: readTag(context.req.header('if-match')),
      key: context.req.header('idempotency-key'),
      by: context.var.person,
    });
    app.use(
      '/v1/*',
      bodyLimit({
        maxSize: longestBody,
        onError: (context) =>
          context.json(Responses.fail(413, 'body_too_long', 'the body is too long').body, 413),
      }),
    );
    app.get(
      '/v1/manifest',
      serve(operators, () => ReadManifest.run(office, {})),
    );
    app.put(
      '/v1/manifest',
      serve(operators, (context) => PutManifest.run(office, putOf(context))),
    );
    app.post(
      '/v1/manifest/check',
      serve(
        operators,
        (context) => {
          const checked = Check.manifest(context.var.body);
          return {
            status: 200,
            body: { good: checked.kind === 'good', findings: checked.kind === 'bad' ? checked.findings : [] },
          };
        },
        true,
      ),
    );
    app.post(
      '/v1/manifest/rollback',
      serve(operators, (context) => Rollback.run(office, putOf(context))),
    );
    app.get(
      '/v1/manifest/:revision',
      serve(operators, (context) =>
        ReadManifest.run(office, { revision: context.req.param('revision') ?? '' }),
      ),
    );
    app.get(
      '/v1/nodes',
      serve(operators, () => ReadStatus.nodes({ roll, core })),
    );
    app.get(
      '/v1/status',
      serve(operators, () => ReadStatus.run(office, { roll, core })),
    );
    app.post(
      '/v1/cores/form',
      serve(
        operators,
        async (context) => {
          const { lose } = (context.var.body ?? {}) as { lose?: unknown };
          if (lose !== losing)
            return Responses.fail(422, 'not_confirmed', `the body must read {"lose":"${losing}"}`);
          const why = await core.force();
          return why === ''
            ? { status: 200, body: { formed: true } }
            : Responses.fail(409, 'not_formed', why);
        },
        true,
      ),
    );
    app.get(
      '/v1/audit',
      serve(operators, () => ReadServers.run(office, { kind: 'audit' })),
    );
    app.get(
      '/v1/usage',
      serve(operators, () => ({ status: 200, body: needs.usage() })),
    );
    app.get(
      '/v1/servers',
      serve(either, () => ReadServers.run(office, { kind: 'servers' })),
    );
    app.put(
      '/v1/servers',
      serve(platform, (context) => PutServers.run(office, { body: context.var.body })),
    );
    app.post(
      '/v1/leaving',
      serve(platform, (context) => Leave.run(office, { body: context.var.body })),
    );
    app.notFound((context) =>
      give(context as Context<Env>, Responses.fail(404, 'no_path', 'there is nothing here')),
    );
    const server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
      serverOptions: { headersTimeout: 10_000, requestTimeout: 30_000, connectionsCheckingInterval: 2000 },
    }) as Server;
    return { server };
  },
};

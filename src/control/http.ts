// The control plane's HTTP interface, for operators and for the platform. Any core takes a call; one
// that does not lead passes it to the primary, once. Nothing else is ever passed on.

import { createHash, timingSafeEqual } from 'node:crypto';
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { Revision } from '../common/revision.js';
import { Check } from '../manifest/check.js';
import type { Roll } from '../membership/roll.js';
import type { Startup } from '../startup/startup.js';
import type { Adapter } from './adapter.js';
import { AtPrimary } from './at-primary.js';
import { Evacuate } from './commands/evacuate.js';
import { Leave } from './commands/leave.js';
import { PutManifest } from './commands/put-manifest.js';
import { PutServers } from './commands/put-servers.js';
import { Rollback } from './commands/rollback.js';
import type { Core } from './core.js';
import type { PrimaryGateway } from './primary-gateway.js';
import { ReadDirectory } from './queries/read-directory.js';
import { ReadEvacuations } from './queries/read-evacuations.js';
import { ReadManifest } from './queries/read-manifest.js';
import { ReadServers } from './queries/read-servers.js';
import { ReadStatus } from './queries/read-status.js';
import { Responses } from './responses.js';
import type { Rights } from './rights.js';

export type ControlHttp = { readonly server: Server; readonly close: () => void };

export declare namespace ControlHttp {
  type Needs = {
    readonly startup: Startup['control'];
    readonly office: PrimaryGateway;
    readonly core: Core;
    readonly roll: Roll;
    readonly usage: () => object;
    readonly loads: () => object;
    readonly budget: () => object;
    readonly ownHttp: () => string;
    readonly isReached: AtPrimary.Needs['isReached'];
    readonly operations: Hono;
    readonly directory: ReadDirectory.Needs;
    readonly adapter: Adapter;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

type Env = { Variables: { person: Rights.Person; body: unknown } };
type Handle = (context: Context<Env>) => Promise<Responses> | Responses;

const losing = 'what only the missing core holds';
const longestBody = 16 * 1024 * 1024;

const isSame = (a: string, b: string): boolean => {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(a), digest(b));
};

const readTag = (text: string | undefined): Revision | undefined =>
  text === undefined ? undefined : Revision.parse(text.replace(/^W\//, '').replace(/^"(.*)"$/, '$1'));

export const ControlHttp = {
  of(needs: ControlHttp.Needs): ControlHttp {
    const { startup, office, core, roll } = needs;
    const app = new Hono<Env>();
    const { give } = AtPrimary;
    const { node } = startup;
    const atPrimary = AtPrimary.of({
      node,
      core,
      ownHttp: needs.ownHttp,
      isReached: needs.isReached,
      note: needs.note,
    });
    /** What this core knows from memory goes out only while a majority confirms that it leads. */
    const ofPrimary = (tell: () => object) => async (): Promise<Responses> => {
      await office.confirm();
      return { status: 200, body: tell() };
    };
    app.route('/', needs.operations);

    const serve =
      (
        people: readonly { name: string; token: string; teams?: readonly string[]; secrets?: boolean }[],
        handle: Handle,
        isLocal = false,
      ) =>
      async (context: Context<Env>): Promise<Response> => {
        const token = /^Bearer +(\S+)$/i.exec(context.req.header('authorization') ?? '')?.[1] ?? '';
        const person = people.find((one) => isSame(one.token, token));
        if (!person)
          return give(context, Responses.fail(401, 'bad_token', 'the token is missing or unknown'));
        context.set('person', {
          name: person.name,
          teams: person.teams,
          maySeeSecrets: person.secrets === true,
        });
        if (!isLocal && !core.leading()) return atPrimary.pass(context);
        if (context.req.method !== 'GET') {
          try {
            context.set('body', await context.req.json());
          } catch {
            return give(context, Responses.fail(400, 'bad_json', 'the body is no JSON'));
          }
        }
        return atPrimary.confirmed(context, () => handle(context));
      };
    const { operators, platform } = startup;
    const either = [...operators, ...platform];
    const putOf = (context: Context<Env>) => ({
      body: context.var.body,
      ifMatch: readTag(context.req.header('if-match')),
      key: context.req.header('idempotency-key'),
      by: context.var.person,
      isSealed: startup.key_file !== undefined,
    });
    const tooLong = (context: Context) =>
      context.json(Responses.fail(413, 'body_too_long', 'the body is too long').body, 413);
    const limitRead = bodyLimit({ maxSize: longestBody, onError: tooLong });
    // A body that states its length is judged by that; the library would make a whole fetch request of it first.
    app.use((context, next) => {
      if (context.req.header('transfer-encoding') !== undefined) return limitRead(context, next);
      const length = Number.parseInt(context.req.header('content-length') ?? '0', 10);
      return length > longestBody ? Promise.resolve(tooLong(context)) : next();
    });
    app.get(
      '/v1/manifest',
      serve(operators, (context) => ReadManifest.run(office, { by: context.var.person })),
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
        ReadManifest.run(office, {
          revision: context.req.param('revision') ?? '',
          by: context.var.person,
        }),
      ),
    );
    app.get(
      '/v1/nodes',
      serve(operators, () => ReadStatus.nodes(office, { roll, core })),
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
    app.get('/v1/usage', serve(operators, ofPrimary(needs.usage)));
    app.get('/v1/loads', serve(either, ofPrimary(needs.loads)));
    app.get('/v1/budget', serve(operators, ofPrimary(needs.budget)));
    app.get(
      '/v1/evacuations',
      serve(operators, () => ReadEvacuations.run(office)),
    );
    for (const [verb, isEvacuated] of [
      ['begin', true],
      ['finish', false],
    ] as const)
      app.post(
        `/v1/evacuations/:zone/${verb}`,
        serve(operators, (context) =>
          Evacuate.run(office, {
            zone: context.req.param('zone') ?? '',
            isEvacuated,
            by: context.var.person,
          }),
        ),
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
    app.get('/v1/directory', (context) =>
      give(context, ReadDirectory.run(needs.directory, { zone: context.req.query('zone') ?? '' })),
    );
    const adapted = needs.adapter.operators?.({
      office,
      order: (handle) => (context) =>
        core.leading() ? atPrimary.confirmed(context, () => handle(context)) : atPrimary.pass(context),
    });
    if (adapted) app.route('/', adapted);
    app.notFound((context) =>
      give(context as Context<Env>, Responses.fail(404, 'no_path', 'there is nothing here')),
    );
    const server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
      serverOptions: { headersTimeout: 10_000, requestTimeout: 30_000, connectionsCheckingInterval: 2000 },
    }) as Server;
    return { server, close: atPrimary.close };
  },
};

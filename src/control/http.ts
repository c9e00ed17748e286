/**
 * HTTP API of the control plane, for operators and the platform. Any core accepts a request; a core that is not the primary
 * forwards it to the primary, once at most. Nothing else is forwarded.
 */

import { createHash, timingSafeEqual } from 'node:crypto';
import type { Server } from 'node:http';
import { type Context, Hono } from 'hono';
import { Revision } from '../common/revision.js';
import { Check } from '../manifest/check.js';
import type { MemberTable } from '../membership/member-table.js';
import { BoundedServer } from '../overload/bounded-server.js';
import type { Overload } from '../overload/overload.js';
import type { Startup } from '../startup/startup.js';
import type { Adapter } from './adapter.js';
import { Evacuate } from './commands/evacuate.js';
import { Leave } from './commands/leave.js';
import { PutManifest } from './commands/put-manifest.js';
import { PutServers } from './commands/put-servers.js';
import { Rollback } from './commands/rollback.js';
import type { Core } from './core.js';
import { PrimaryForwarder } from './primary-forwarder.js';
import type { PrimaryGateway } from './primary-gateway.js';
import { ReadDirectory } from './queries/read-directory.js';
import { ReadEvacuations } from './queries/read-evacuations.js';
import { ReadManifest } from './queries/read-manifest.js';
import { ReadServers } from './queries/read-servers.js';
import { ReadStatus } from './queries/read-status.js';
import { RequestGate } from './request-gate.js';
import { Responses } from './responses.js';
import type { Rights } from './rights.js';

/** The HTTP server of the control API and a function that closes the connections to the primary. */
export type ControlHttp = {
  readonly server: Server;
  readonly close: () => void;
  /** How many requests were refused before they were handled. */
  readonly refusedCount: () => number;
};

export declare namespace ControlHttp {
  /** The parts of the node that the API reads and changes. */
  type Dependencies = {
    readonly startup: Startup['control'];
    readonly gateway: PrimaryGateway;
    readonly core: Core;
    readonly roll: MemberTable;
    readonly usage: () => object;
    readonly loads: () => object;
    readonly budget: () => object;
    readonly ownHttpAddress: () => string;
    readonly isConnected: PrimaryForwarder.Dependencies['isConnected'];
    readonly operations: Hono;
    readonly directory: ReadDirectory.Dependencies;
    readonly adapter: Adapter;
    readonly overload: Overload;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

type Env = { Variables: { person: Rights.Person; body: unknown } };
type Handle = (context: Context<Env>) => Promise<Responses> | Responses;

/** Text that a request to form the cores by force must repeat, since it loses state. */
const forceConfirmation = 'what only the missing core holds';

/** Compares digests in constant time, so that response times reveal nothing about a token. */
const isSameToken = (a: string, b: string): boolean => {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(a), digest(b));
};

/** The revision that an entity tag names, weak or strong. */
const parseTag = (text: string | undefined): Revision | undefined =>
  text === undefined ? undefined : Revision.parse(text.replace(/^W\//, '').replace(/^"(.*)"$/, '$1'));

/** Builds the HTTP server of the control API. */
export const ControlHttp = {
  /** Builds the server with all its routes. */
  of(needs: ControlHttp.Dependencies): ControlHttp {
    const { startup, gateway, core, roll } = needs;
    const app = new Hono<Env>();
    const { toResponse } = PrimaryForwarder;
    const gate = RequestGate.of(needs.overload);
    const { node } = startup;
    const forwarder = PrimaryForwarder.of({
      node,
      core,
      ownHttpAddress: needs.ownHttpAddress,
      isConnected: needs.isConnected,
      note: needs.note,
    });
    /** Answers with data that only the primary holds, after a majority has confirmed that this core leads. */
    const readConfirmed = (read: () => object) => async (): Promise<Responses> => {
      await gateway.confirm();
      return { status: 200, body: read() };
    };
    app.route('/', needs.operations);

    /** Authenticates a request, then runs it here if it is local or this core leads, else forwards it. */
    const serve =
      (
        clients: readonly { name: string; token: string; teams?: readonly string[]; secrets?: boolean }[],
        handle: Handle,
        isLocal = false,
      ) =>
      async (context: Context<Env>): Promise<Response> => {
        const token = /^Bearer +(\S+)$/i.exec(context.req.header('authorization') ?? '')?.[1] ?? '';
        const person = clients.find((one) => isSameToken(one.token, token));
        if (!person)
          return toResponse(context, Responses.fail(401, 'bad_token', 'the token is missing or unknown'));
        context.set('person', {
          name: person.name,
          teams: person.teams,
          maySeeSecrets: person.secrets === true,
        });
        if (!isLocal && !core.leading()) return forwarder.forward(context);
        if (context.req.method !== 'GET') {
          try {
            context.set('body', JSON.parse(RequestGate.body(context).toString('utf8')));
          } catch {
            return toResponse(context, Responses.fail(400, 'bad_json', 'the body is no JSON'));
          }
        }
        return forwarder.respond(context, () => handle(context));
      };
    const { operators, platform } = startup;
    const operatorsAndPlatform = [...operators, ...platform];
    const readPutRequest = (context: Context<Env>) => ({
      body: context.var.body,
      ifMatch: parseTag(context.req.header('if-match')),
      key: context.req.header('idempotency-key'),
      by: context.var.person,
      isSealed: startup.key_file !== undefined,
    });
    app.use(gate.handle);
    app.get(
      '/v1/manifest',
      serve(operators, (context) => ReadManifest.run(gateway, { by: context.var.person })),
    );
    app.put(
      '/v1/manifest',
      serve(operators, (context) => PutManifest.run(gateway, readPutRequest(context))),
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
      serve(operators, (context) => Rollback.run(gateway, readPutRequest(context))),
    );
    app.get(
      '/v1/manifest/:revision',
      serve(operators, (context) =>
        ReadManifest.run(gateway, {
          revision: context.req.param('revision') ?? '',
          by: context.var.person,
        }),
      ),
    );
    app.get(
      '/v1/nodes',
      serve(operators, () => ReadStatus.nodes(gateway, { roll, core })),
    );
    app.get(
      '/v1/status',
      serve(operators, () => ReadStatus.run(gateway, { roll, core })),
    );
    app.post(
      '/v1/cores/form',
      serve(
        operators,
        async (context) => {
          const { lose } = (context.var.body ?? {}) as { lose?: unknown };
          if (lose !== forceConfirmation)
            return Responses.fail(422, 'not_confirmed', `the body must read {"lose":"${forceConfirmation}"}`);
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
      serve(operators, () => ReadServers.run(gateway, { kind: 'audit' })),
    );
    app.get('/v1/usage', serve(operators, readConfirmed(needs.usage)));
    app.get('/v1/loads', serve(operatorsAndPlatform, readConfirmed(needs.loads)));
    app.get('/v1/budget', serve(operators, readConfirmed(needs.budget)));
    app.get(
      '/v1/evacuations',
      serve(operators, () => ReadEvacuations.run(gateway)),
    );
    for (const [verb, isEvacuated] of [
      ['begin', true],
      ['finish', false],
    ] as const)
      app.post(
        `/v1/evacuations/:zone/${verb}`,
        serve(operators, (context) =>
          Evacuate.run(gateway, {
            zone: context.req.param('zone') ?? '',
            isEvacuated,
            by: context.var.person,
          }),
        ),
      );
    app.get(
      '/v1/servers',
      serve(operatorsAndPlatform, () => ReadServers.run(gateway, { kind: 'servers' })),
    );
    app.put(
      '/v1/servers',
      serve(platform, (context) => PutServers.run(gateway, { body: context.var.body })),
    );
    app.post(
      '/v1/leaving',
      serve(platform, (context) => Leave.run(gateway, { body: context.var.body })),
    );
    app.get('/v1/directory', (context) =>
      toResponse(context, ReadDirectory.run(needs.directory, { zone: context.req.query('zone') ?? '' })),
    );
    const operatorPaths = needs.adapter.operators?.({
      gateway,
      note: needs.note,
      onPrimary: (handle) => (context) =>
        core.leading() ? forwarder.respond(context, () => handle(context)) : forwarder.forward(context),
    });
    if (operatorPaths) app.route('/', operatorPaths);
    app.notFound((context) =>
      toResponse(context as Context<Env>, Responses.fail(404, 'no_path', 'there is nothing here')),
    );
    const server = BoundedServer.of(app.fetch, needs.overload, {
      headersTimeout: 10_000,
      requestTimeout: 30_000,
      connectionsCheckingInterval: 2000,
    });
    return { server, close: forwarder.close, refusedCount: gate.refusedCount };
  },
};

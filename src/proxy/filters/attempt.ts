// Pick and try: gives the call to the upstream layer and keeps the verdict for the commit.
import { Moment } from '../../kinds/moment.js';
import type { Compiled } from '../../manifest/compiled.js';
import { Wall } from '../../manifest/wall.js';
import type { Connection } from '../../upstream/connection.js';
import type { Exchange } from '../../upstream/exchange.js';
import { Outcome } from '../../upstream/outcome.js';
import type { Pick } from '../../upstream/pick.js';
import { Suspicion } from '../../upstream/suspicion.js';
import { Trial } from '../../upstream/trial.js';
import { Tries } from '../../upstream/tries.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Hygiene } from '../hygiene.js';
import { Responses } from '../responses.js';
import { Walled } from '../walled.js';

export type Attempt = { readonly verdict: Tries };

type Sending = {
  readonly pick: Pick;
  readonly step: Compiled.Step;
  readonly left: number;
  readonly hops: number;
  readonly after: string | undefined;
};

const buildRequest = (
  call: Call,
  incoming: Call.Env['Bindings']['incoming'],
  { pick, step, left, hops, after }: Sending,
): Exchange.Request => {
  const body = Walled.body(call, step.model, pick.group.wall);
  const { dialect, id, rule } = call;
  const proof = pick.group.proof;
  return {
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: {
      ...Walled.headers(call, pick.group.wall, Hygiene.up(incoming.headers, dialect)),
      ...dialect.up({ id, left, hops, priority: rule?.priority, after }),
      ...(proof ? { [proof.header]: pick.server.instance } : {}),
    },
    body: body && body.length > 0 ? body : null,
  };
};

const isStillOpen =
  (needs: Filter.Needs, regions: readonly string[], mayGo: (group: Compiled.Group) => boolean) =>
  ({ server }: Pick): boolean => {
    const compiled = needs.compiled();
    const newest = compiled?.servers.get(server.instance);
    const group = newest && compiled?.groups.get(newest.group);
    return (
      newest?.isOpen === true &&
      group !== undefined &&
      mayGo(group) &&
      !needs.ejector.isMisdirected(newest) &&
      newest.group === server.group &&
      newest.address.host === server.address.host &&
      newest.address.port === server.address.port &&
      regions.includes(newest.region)
    );
  };

const capacityOf = (compiled: Compiled, rule: Compiled.Rule): number =>
  (rule.steps[0]?.groups ?? [])
    .map((name) => compiled.groups.get(name))
    .reduce((sum, group) => sum + (group ? group.servers.length * group.concurrent : 0), 0);

export const Attempt = {
  filter:
    (needs: Filter.Needs): Filter =>
    async (context, next) => {
      const { call } = context.var;
      const rule = Call.need(call, 'rule');
      const regions = Call.need(call, 'regions');
      const timeouts = Call.need(call, 'timeouts');
      const deadline = Call.need(call, 'deadline');
      const mayGo = (group: Compiled.Group) => Wall.mayGo(call.wall, group.wall, Walled.hasForeignBody(call));
      const isOpen = isStillOpen(needs, regions, mayGo);
      const compiled = Call.need(call, 'compiled');
      const groups = rule.steps.flatMap((step) => step.groups.map((name) => compiled.groups.get(name)));
      if (!groups.some((group) => group && mayGo(group))) {
        needs.meters.refusals.inc({ code: 'no_wall' });
        return Responses.refuse(context, {
          status: 503,
          code: 'no_wall',
          text: 'no servers of this rule keep the wall around this tenant',
          retryAfter: 1000,
        });
      }
      const share = needs.shares.enter(
        rule.steps[0]?.groups.join() ?? '',
        Call.need(call, 'team').name,
        capacityOf(compiled, rule),
      );
      if (!share)
        return Responses.refuse(context, {
          status: 503,
          code: 'crowded',
          text: 'the servers are crowded and your team holds its part of them',
          retryAfter: 1000,
        });
      context.env.outgoing.once('close', share);
      const { wall } = call;
      const parts = call.asked.parts.map((part) => ({ ...part, key: Wall.key(wall, part.key) }));
      const key = call.prompt?.key;
      const want = {
        parts,
        wall: wall?.name ?? '',
        tokens: call.asked.tokens?.read ?? 0,
        bytes: call.body?.length ?? 0,
        aim: rule.aim ?? timeouts.total,
        gap: rule.gap ?? timeouts.total,
      };
      const tried: string[] = [];
      const used = new Set<Connection>();
      const launch = (after: string | undefined, sent: number): Promise<Tries> =>
        Tries.run({
          rule,
          regions,
          key: key === undefined ? undefined : Wall.key(wall, key),
          want,
          before: { tried: [...tried], sent },
          deadline,
          signal: call.left,
          budget: needs.budget,
          pick: () => ({
            compiled: needs.compiled() ?? compiled,
            inFlight: needs.inFlight,
            ejector: needs.ejector,
            allowance: needs.ramp.allowance,
            connections: needs.pool.part,
            isDark: needs.prover.isDark,
            mayWarm: needs.warmup.allows,
            mayGo,
            placement: needs.placement,
            random: Math.random,
          }),
          async run(pick, tier, hops) {
            tried.push(pick.server.instance);
            const placed = needs.placement.sent(pick.server, pick.group, want);
            const place = needs.warmup.enter(pick.server.instance);
            let sentAt = Moment.now();
            const trial = await Trial.run(pick, {
              pool: needs.pool,
              inFlight: needs.inFlight,
              request: (left) =>
                buildRequest(call, context.env.incoming, { pick, step: tier.step, left, hops, after }),
              suspectAfter: Suspicion.firstAfter(rule.aim),
              weight: rule.aim === undefined ? (call.body?.length ?? 0) : placed.uncached,
              timeouts,
              deadline,
              signal: call.left,
              isStillOpen: isOpen,
              tie: call.dialect.tie(call.asked, pick.group),
              used,
              onSend() {
                sentAt = Moment.now();
                place.sent();
              },
              settle: needs.stall.settle,
              ...(rule.isOnce
                ? {}
                : {
                    onLost: (end: () => void) =>
                      needs.prover.watch(pick.server.instance, () => {
                        if (needs.budget.held() >= 1) end();
                      }),
                  }),
              onWait() {
                needs.prover.suspect(pick.server);
                needs.failures.see(pick.server.instance, Outcome.weights.silent);
              },
            }).finally(place.leave);
            if (trial.kind === 'stream') placed.answered(Moment.since(sentAt));
            return trial;
          },
          note: (trial, isExtra) => {
            Outcome.tell(needs, trial);
            const outcome = 'why' in trial ? `${trial.kind}_${trial.why}` : `${trial.kind}_${trial.status}`;
            needs.meters.tries.inc({ group: trial.pick.group.name, outcome, extra: isExtra ? 'yes' : 'no' });
            if (trial.kind !== 'stream')
              needs.note('try ended', { request: call.id, to: trial.pick.server.instance, outcome });
          },
        });
      call.resume = launch;
      call.verdict = await launch(undefined, 0);
      return next();
    },
};

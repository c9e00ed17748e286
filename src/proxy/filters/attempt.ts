/**
 * Attempt filter: sends the request to servers, with the retries that its rule allows, and keeps the outcome for the
 * commit filter.
 */
import type { Id } from '../../common/id.js';
import { Instant } from '../../common/instant.js';
import type { Compiled } from '../../manifest/compiled.js';
import { Wall } from '../../manifest/wall.js';
import type { Budget } from '../../upstream/budget.js';
import type { Candidate } from '../../upstream/candidate.js';
import type { Connection } from '../../upstream/connection.js';
import type { Exchange } from '../../upstream/exchange.js';
import { Outcome } from '../../upstream/outcome.js';
import type { Placement } from '../../upstream/placement.js';
import { Suspicion } from '../../upstream/suspicion.js';
import { Tries } from '../../upstream/tries.js';
import { UpstreamTry } from '../../upstream/upstream-try.js';
import { CacheSalt } from '../cache-salt.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { HeaderFilter } from '../header-filter.js';
import { Responses } from '../responses.js';

/** The outcome of all attempts of a call. */
export type Attempt = { readonly verdict: Tries };

type SendOptions = {
  readonly pick: Candidate;
  readonly step: Compiled.Step;
  readonly left: number;
  readonly hops: number;
  readonly after: string | undefined;
};

const buildRequest = (call: Call, { pick, step, left, hops, after }: SendOptions): Exchange.Request => {
  const { dialect, id, rule, team, key, incoming } = call;
  const { group, server } = pick;
  const body = CacheSalt.body(call, step.model, group.wall);
  const headers: Record<string, string> = {
    ...CacheSalt.headers(call, group.wall, HeaderFilter.requestHeaders(incoming.headers, dialect)),
    ...dialect.requestHeaders({
      id,
      timeLeft: left,
      hops,
      priority: team?.priority ?? rule?.priority,
      tenant: key === undefined ? undefined : team?.name,
      lastEventId: after,
    }),
  };
  if (group.proof) headers[group.proof.header] = server.instance;
  return {
    method: call.method,
    path: incoming.url ?? '/',
    headers,
    body: body && body.length > 0 ? body : null,
  };
};

/** Requests that the servers of the first step can process at once. */
const countCapacity = (compiled: Compiled, rule: Compiled.Rule): number =>
  (rule.steps[0]?.groups ?? [])
    .map((name) => compiled.groups.get(name))
    .reduce((sum, group) => sum + (group ? group.servers.length * group.concurrent : 0), 0);

const createPlacementRequest = (call: Call): Placement.Request => {
  const { wall, requestInfo, body } = call;
  const rule = Call.require(call, 'rule');
  const { total } = Call.require(call, 'timeouts');
  return {
    parts: requestInfo.parts.map((part) => ({ ...part, key: Wall.key(wall, part.key) })),
    wall: wall?.name ?? '',
    tokens: requestInfo.tokens?.input ?? 0,
    bytes: body?.length ?? 0,
    aim: rule.aim ?? total,
    gap: rule.gap ?? total,
  };
};

/** All attempts of one call: those for its first response, and those that resume a broken stream. */
class CallAttempts {
  private readonly tried: string[] = [];
  /** Connections that carried an earlier attempt; a late response to it may still arrive there. */
  private readonly used = new Set<Connection>();
  private readonly rule: Compiled.Rule;
  private readonly regions: readonly Id.Region[];
  private readonly deadline: Instant;
  private readonly compiled: Compiled;
  private readonly want: Placement.Request;

  constructor(
    private readonly needs: Filter.Dependencies,
    private readonly call: Call,
  ) {
    this.rule = Call.require(call, 'rule');
    this.regions = Call.require(call, 'regions');
    this.deadline = Call.require(call, 'deadline');
    this.compiled = Call.require(call, 'compiled');
    this.want = createPlacementRequest(call);
  }

  /** Runs attempts until one succeeds or none is left; `after` resumes a stream behind that event id. */
  launch(after: string | undefined, sent: number): Promise<Tries> {
    const { needs, call, rule, regions, want, deadline } = this;
    const key = call.prompt?.key;
    return Tries.run({
      rule,
      regions,
      key: key === undefined ? undefined : Wall.key(call.wall, key),
      want,
      previous: { tried: [...this.tried], sent },
      deadline,
      signal: call.clientAbort,
      budget: needs.budget,
      pickNeeds: () => this.pickDependencies(),
      run: (pick, tier, hops) => this.run(pick, tier, hops, after),
      onTryEnd: (trial, payment) => this.note(trial, payment),
    });
  }

  /** Whether any server group of the rule may receive this call under the isolation rules of its tenant. */
  hasEligibleGroup(): boolean {
    return this.rule.steps.some((step) =>
      step.groups.some((name) => {
        const group = this.compiled.groups.get(name);
        return group !== undefined && this.isIsolated(group);
      }),
    );
  }

  /** Whether the key of the call, if it has one, is still a key of its team. */
  private isKeyValid(): boolean {
    const { key, team } = this.call;
    if (key === undefined) return true;
    const newest = this.needs.compiled() ?? this.compiled;
    const isKnown = newest === this.compiled || newest.findTeamByKey(key)?.name === team?.name;
    return isKnown && this.needs.keyLease.isValid();
  }

  private readonly mayGo = (group: Compiled.Group): boolean => this.isKeyValid() && this.isIsolated(group);

  private readonly isIsolated = (group: Compiled.Group): boolean =>
    Wall.isAllowed(this.call.wall, group.wall, CacheSalt.hasOpaqueBody(this.call));

  private pickDependencies(): Candidate.Needs {
    const { needs } = this;
    return {
      compiled: needs.compiled() ?? this.compiled,
      inFlight: needs.inFlight,
      ejector: needs.ejector,
      concurrencyLimit: needs.slowStart.concurrencyLimit,
      connectionLimit: needs.pool.connectionLimit,
      isUnreachable: needs.healthChecker.isUnreachable,
      allowsWarmup: needs.warmup.allows,
      mayUseGroup: this.mayGo,
      placement: needs.placement,
      random: Math.random,
    };
  }

  /** Whether the newest manifest still allows the call on the chosen server, at the same address. */
  private readonly isStillOpen = ({ server }: Candidate): boolean => {
    const compiled = this.needs.compiled();
    const newest = compiled?.servers.get(server.instance);
    const group = newest && compiled?.groups.get(newest.group);
    return (
      newest?.isOpen === true &&
      group !== undefined &&
      this.mayGo(group) &&
      !this.needs.ejector.isMisdirected(newest) &&
      newest.group === server.group &&
      newest.address.host === server.address.host &&
      newest.address.port === server.address.port &&
      this.regions.includes(newest.region)
    );
  };

  private async run(
    pick: Candidate,
    tier: Candidate.Tier,
    hops: number,
    after: string | undefined,
  ): Promise<UpstreamTry> {
    const { needs, call, rule, want } = this;
    const { instance } = pick.server;
    this.tried.push(instance);
    const placed = needs.placement.recordSent(pick.server, pick.group, want);
    const place = needs.warmup.reserve(instance);
    let sentAt = Instant.now();
    const trial = await UpstreamTry.run(pick, {
      ...this.trialDependencies(pick),
      request: (left) => buildRequest(call, { pick, step: tier.step, left, hops, after }),
      weight: rule.aim === undefined ? (call.body?.length ?? 0) : placed.uncached,
      onSend() {
        sentAt = Instant.now();
        place.confirmSent();
      },
    }).finally(place.release);
    if (trial.kind === 'stream') placed.recordFirstToken(Instant.since(sentAt));
    return trial;
  }

  private trialDependencies(pick: Candidate): Omit<UpstreamTry.Needs, 'request' | 'weight' | 'onSend'> {
    const { needs, call, rule } = this;
    const { instance } = pick.server;
    const onLost = (end: () => void) =>
      needs.healthChecker.watch(instance, () => {
        if (needs.budget.held(pick.group.name) >= 1) end();
      });
    return {
      pool: needs.pool,
      inFlight: needs.inFlight,
      suspectAfter: Suspicion.firstAfter(rule.aim),
      timeouts: Call.require(call, 'timeouts'),
      deadline: this.deadline,
      signal: call.clientAbort,
      isStillEligible: this.isStillOpen,
      correlation: call.dialect.tie(call.requestInfo, pick.group),
      usedConnections: this.used,
      settle: needs.stall.settle,
      ...(rule.isOnce ? {} : { onUnreachable: onLost }),
      onSuspect() {
        needs.healthChecker.suspect(pick.server);
        needs.failures.see(instance, Outcome.weights.silent);
      },
    };
  }

  private note(trial: UpstreamTry, payment: Budget.Payment | undefined): void {
    const { needs, call } = this;
    Outcome.record(needs, trial);
    const outcome = 'why' in trial ? `${trial.kind}_${trial.why}` : `${trial.kind}_${trial.status}`;
    const { name: group } = trial.pick.group;
    needs.meters.tries.inc({ group, outcome, extra: payment ? 'yes' : 'no' });
    if (payment) needs.meters.extraTries.inc({ group, payment });
    if (trial.kind !== 'stream')
      needs.note('attempt ended', { request: call.id, to: trial.pick.server.instance, outcome });
  }
}

const noIsolatingServer = Responses.unavailable(
  'no_wall',
  'no servers of this rule keep the wall around this tenant',
);
const shareExceeded = Responses.unavailable(
  'crowded',
  'the servers are crowded and your team holds its part of them',
);

/** Counts the call against the team's share of the servers until its response has ended. */
const acquireShare = (needs: Filter.Dependencies, call: Call): boolean => {
  const rule = Call.require(call, 'rule');
  const leave = needs.shares.acquire(
    rule.steps[0]?.groups.join() ?? '',
    Call.require(call, 'team').name,
    countCapacity(Call.require(call, 'compiled'), rule),
  );
  if (leave) call.outgoing.once('close', leave);
  return leave !== undefined;
};

/** Creates the attempt filter. */
export const Attempt = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call) => {
      const tries = new CallAttempts(needs, call);
      if (!tries.hasEligibleGroup()) {
        needs.meters.refusals.inc({ code: 'no_wall' });
        return Responses.refuse(call, noIsolatingServer);
      }
      if (!acquireShare(needs, call)) return Responses.refuse(call, shareExceeded);
      call.resume = (after, sent) => tries.launch(after, sent);
      return tries.launch(undefined, 0).then((verdict) => {
        call.attemptResult = verdict;
        return 'next';
      });
    },
};

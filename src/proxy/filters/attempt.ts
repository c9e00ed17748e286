/** Pick and try: gives the call to the upstream layer and keeps the verdict for the commit. */
import type { Ident } from '../../kinds/ident.js';
import { Moment } from '../../kinds/moment.js';
import type { Compiled } from '../../manifest/compiled.js';
import { Wall } from '../../manifest/wall.js';
import type { Candidate } from '../../upstream/candidate.js';
import type { Connection } from '../../upstream/connection.js';
import type { Exchange } from '../../upstream/exchange.js';
import { Outcome } from '../../upstream/outcome.js';
import type { Placement } from '../../upstream/placement.js';
import { Suspicion } from '../../upstream/suspicion.js';
import { Trial } from '../../upstream/trial.js';
import { Tries } from '../../upstream/tries.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Hygiene } from '../hygiene.js';
import { Responses } from '../responses.js';
import { Walled } from '../walled.js';

/** What the tries of a call came to. */
export type Attempt = { readonly verdict: Tries };

type Sending = {
  readonly pick: Candidate;
  readonly step: Compiled.Step;
  readonly left: number;
  readonly hops: number;
  readonly after: string | undefined;
};

const buildRequest = (call: Call, { pick, step, left, hops, after }: Sending): Exchange.Request => {
  const { dialect, id, rule, incoming } = call;
  const { group, server } = pick;
  const body = Walled.body(call, step.model, group.wall);
  const headers: Record<string, string> = {
    ...Walled.headers(call, group.wall, Hygiene.up(incoming.headers, dialect)),
    ...dialect.up({ id, left, hops, priority: rule?.priority, after }),
  };
  if (group.proof) headers[group.proof.header] = server.instance;
  return {
    method: call.method,
    path: incoming.url ?? '/',
    headers,
    body: body && body.length > 0 ? body : null,
  };
};

const capacityOf = (compiled: Compiled, rule: Compiled.Rule): number =>
  (rule.steps[0]?.groups ?? [])
    .map((name) => compiled.groups.get(name))
    .reduce((sum, group) => sum + (group ? group.servers.length * group.concurrent : 0), 0);

const wantOf = (call: Call): Placement.Request => {
  const { wall, asked, body } = call;
  const rule = Call.need(call, 'rule');
  const { total } = Call.need(call, 'timeouts');
  return {
    parts: asked.parts.map((part) => ({ ...part, key: Wall.key(wall, part.key) })),
    wall: wall?.name ?? '',
    tokens: asked.tokens?.read ?? 0,
    bytes: body?.length ?? 0,
    aim: rule.aim ?? total,
    gap: rule.gap ?? total,
  };
};

/** All tries of one call: those of its first answer, and those that take a stream up again. */
class CallTries {
  private readonly tried: string[] = [];
  /** Connections that carried an earlier try: an answer to that one may still come there. */
  private readonly used = new Set<Connection>();
  private readonly rule: Compiled.Rule;
  private readonly regions: readonly Ident.Region[];
  private readonly deadline: Moment;
  private readonly compiled: Compiled;
  private readonly want: Placement.Request;

  constructor(
    private readonly needs: Filter.Needs,
    private readonly call: Call,
  ) {
    this.rule = Call.need(call, 'rule');
    this.regions = Call.need(call, 'regions');
    this.deadline = Call.need(call, 'deadline');
    this.compiled = Call.need(call, 'compiled');
    this.want = wantOf(call);
  }

  launch(after: string | undefined, sent: number): Promise<Tries> {
    const { needs, call, rule, regions, want, deadline } = this;
    const key = call.prompt?.key;
    return Tries.run({
      rule,
      regions,
      key: key === undefined ? undefined : Wall.key(call.wall, key),
      want,
      before: { tried: [...this.tried], sent },
      deadline,
      signal: call.left,
      budget: needs.budget,
      pick: () => this.pickNeeds(),
      run: (pick, tier, hops) => this.run(pick, tier, hops, after),
      note: (trial, isExtra) => this.note(trial, isExtra),
    });
  }

  /** Whether some server of the rule may be given this call. */
  hasPlace(): boolean {
    return this.rule.steps.some((step) =>
      step.groups.some((name) => {
        const group = this.compiled.groups.get(name);
        return group !== undefined && this.mayGo(group);
      }),
    );
  }

  private readonly mayGo = (group: Compiled.Group): boolean =>
    Wall.mayGo(this.call.wall, group.wall, Walled.hasForeignBody(this.call));

  private pickNeeds(): Candidate.Needs {
    const { needs } = this;
    return {
      compiled: needs.compiled() ?? this.compiled,
      inFlight: needs.inFlight,
      ejector: needs.ejector,
      concurrencyLimit: needs.ramp.concurrencyLimit,
      connectionLimit: needs.pool.connectionLimit,
      isUnreachable: needs.prover.isUnreachable,
      allowsWarmup: needs.warmup.allows,
      mayUseGroup: this.mayGo,
      placement: needs.placement,
      random: Math.random,
    };
  }

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
  ): Promise<Trial> {
    const { needs, call, rule, want } = this;
    const { instance } = pick.server;
    this.tried.push(instance);
    const placed = needs.placement.recordSent(pick.server, pick.group, want);
    const place = needs.warmup.reserve(instance);
    let sentAt = Moment.now();
    const trial = await Trial.run(pick, {
      ...this.trialNeeds(pick),
      request: (left) => buildRequest(call, { pick, step: tier.step, left, hops, after }),
      weight: rule.aim === undefined ? (call.body?.length ?? 0) : placed.uncached,
      onSend() {
        sentAt = Moment.now();
        place.confirmSent();
      },
    }).finally(place.release);
    if (trial.kind === 'stream') placed.recordFirstToken(Moment.since(sentAt));
    return trial;
  }

  private trialNeeds(pick: Candidate): Omit<Trial.Needs, 'request' | 'weight' | 'onSend'> {
    const { needs, call, rule } = this;
    const { instance } = pick.server;
    const onLost = (end: () => void) =>
      needs.prover.watch(instance, () => {
        if (needs.budget.held() >= 1) end();
      });
    return {
      pool: needs.pool,
      inFlight: needs.inFlight,
      suspectAfter: Suspicion.firstAfter(rule.aim),
      timeouts: Call.need(call, 'timeouts'),
      deadline: this.deadline,
      signal: call.left,
      isStillOpen: this.isStillOpen,
      tie: call.dialect.tie(call.asked, pick.group),
      used: this.used,
      settle: needs.stall.settle,
      ...(rule.isOnce ? {} : { onLost }),
      onWait() {
        needs.prover.suspect(pick.server);
        needs.failures.see(instance, Outcome.weights.silent);
      },
    };
  }

  private note(trial: Trial, isExtra: boolean): void {
    const { needs, call } = this;
    Outcome.tell(needs, trial);
    const outcome = 'why' in trial ? `${trial.kind}_${trial.why}` : `${trial.kind}_${trial.status}`;
    needs.meters.tries.inc({ group: trial.pick.group.name, outcome, extra: isExtra ? 'yes' : 'no' });
    if (trial.kind !== 'stream')
      needs.note('try ended', { request: call.id, to: trial.pick.server.instance, outcome });
  }
}

const noWall = Responses.unavailable('no_wall', 'no servers of this rule keep the wall around this tenant');
const crowded = Responses.unavailable(
  'crowded',
  'the servers are crowded and your team holds its part of them',
);

/** Holds the team's part of the servers until the answer has ended. */
const enterShare = (needs: Filter.Needs, call: Call): boolean => {
  const rule = Call.need(call, 'rule');
  const leave = needs.shares.enter(
    rule.steps[0]?.groups.join() ?? '',
    Call.need(call, 'team').name,
    capacityOf(Call.need(call, 'compiled'), rule),
  );
  if (leave) call.outgoing.once('close', leave);
  return leave !== undefined;
};

export const Attempt = {
  filter:
    (needs: Filter.Needs): Filter =>
    (call) => {
      const tries = new CallTries(needs, call);
      if (!tries.hasPlace()) {
        needs.meters.refusals.inc({ code: 'no_wall' });
        return Responses.refuse(call, noWall);
      }
      if (!enterShare(needs, call)) return Responses.refuse(call, crowded);
      call.resume = (after, sent) => tries.launch(after, sent);
      return tries.launch(undefined, 0).then((verdict) => {
        call.verdict = verdict;
        return 'next';
      });
    },
};

/**
 * The proxy process: the client port, the operations port, and the link to its agent over loopback. If the agent or the
 * control plane is unavailable, the proxy keeps serving with its last manifest.
 */
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Id } from '../common/id.js';
import { Instant } from '../common/instant.js';
import { Listen } from '../common/listen.js';
import { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { LogBuffer } from '../log/log-buffer.js';
import { Compiled } from '../manifest/compiled.js';
import { MemberTable } from '../membership/member-table.js';
import { Uplink } from '../membership/uplink.js';
import { Feed } from '../news/feed.js';
import { ViewConfirmation } from '../news/view-confirmation.js';
import { Overload } from '../overload/overload.js';
import { Ops } from '../startup/ops.js';
import type { Program } from '../startup/program.js';
import type { Startup } from '../startup/startup.js';
import { Version } from '../startup/version.js';
import { Budget } from '../upstream/budget.js';
import { Ejector } from '../upstream/ejector.js';
import { FailureScores } from '../upstream/failure-scores.js';
import { HealthChecker } from '../upstream/health-checker.js';
import { InFlight } from '../upstream/in-flight.js';
import { Placement } from '../upstream/placement.js';
import { Pool } from '../upstream/pool.js';
import { SlowStart } from '../upstream/slow-start.js';
import { Warmup } from '../upstream/warmup.js';
import { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import { Dialect } from './dialect.js';
import { Drain } from './drain.js';
import { FirstManifest } from './first-manifest.js';
import { KeyLease } from './key-lease.js';
import { LeavingServers } from './leaving-servers.js';
import { Meters } from './meters.js';
import { QuotaLimiter } from './quota-limiter.js';
import { Ready } from './ready.js';
import { ProxyServer } from './server.js';
import { Shares } from './shares.js';
import { Stall } from './stall.js';

/** Starts a proxy. */
export type ProxyProgram = {
  /**
   * Starts a proxy and returns once it listens. With `join`, the agent runs in this process, and its configured address only
   * identifies it.
   */
  readonly start: (
    startup: Startup['proxy'],
    ring: LogBuffer,
    dialect?: Dialect,
    join?: (terms: Link.Options) => Link,
    overload?: Overload,
  ) => Promise<Program>;
};

/** How long running requests may take after the signal unless the startup says otherwise, in milliseconds. */
const defaultDrainMs = 30_000;

/** Requests served at once unless the startup says otherwise. */
const defaultConcurrent = 512;

/** Starts a proxy. */
export const ProxyProgram: ProxyProgram = {
  async start(startup, ring, dialect = Dialect, join = undefined, overload = Overload.of(startup)) {
    const feed = Feed.of();
    type TokenReport = Pick<
      Extract<Frame.Body, { kind: 'tokens' }>,
      'transfers' | 'serial' | 'uses' | 'life' | 'whole' | 'boot' | 'uptime'
    >;
    const sendTokens = (report: TokenReport) =>
      uplink.send({ ...Frame.emptyTokens, node: startup.node, ...report });
    const quotas = QuotaLimiter.of({
      proxies: () => roster.length,
      send: (serial, uses, flags) => sendTokens({ serial, uses, ...flags, boot, uptime: Instant.now() }),
    });
    const budget = Budget.of(
      (transfers) => sendTokens({ transfers, serial: 0, uses: [] }),
      startup.extra_tries,
      () => roster.length,
    );
    const maintenance = Timer.every(500, () => {
      budget.maintain();
      quotas.maintain();
      keyLease.reportChange();
      const failed = failures.takeUnreported();
      if (failed.length > 0) uplink.send({ kind: 'failures', failed });
    });
    const inFlight = InFlight.of();
    const stall = Stall.of();
    const firstManifest = FirstManifest.of();
    const keyLease = KeyLease.of({
      within: () => startup.key_lease ?? Number.POSITIVE_INFINITY,
      verifiedAt: feed.verifiedAt,
      onChange(isValid) {
        if (isValid) ring.info('API keys are accepted again');
        else ring.error('API keys are refused: the manifest held may not be the newest', { age: feed.age() });
      },
    });
    const boot = Id.boot();
    let active = 0;
    const drainMs = () => startup.drain ?? defaultDrainMs;
    const drain = Drain.of({
      total: drainMs,
      takesLong: () => startup.takes_long ?? Number.POSITIVE_INFINITY,
    });
    let compiled: Compiled | undefined;
    const meters = Meters.of({
      stamp: () => currentStamp(),
      held: budget.heldInTotal,
      active: () => active,
      age: feed.age,
      keyLease: keyLease.remaining,
    });
    overload.addMetrics(meters.metrics);
    const ejector = Ejector.of((server, span, why) => {
      meters.ejections.inc({ group: server.group });
      ring.info('server ejected', { instance: server.instance, span, why });
    });
    const pool = Pool.of({
      newest: () => compiled,
      onWrongIdentity(server, cause) {
        meters.wrongIdentities.inc({ group: server.group });
        const facts = { instance: server.instance, why: Failure.text(cause), ...Failure.info(cause) };
        if (healthChecker.isUnreachable(server.instance))
          ring.info('server identity still does not match', facts);
        else ring.error('server identity does not match', facts);
      },
      onUnexpectedClose: (server) => healthChecker.suspect(server),
      proxies: () => roster.length,
    });
    let roster: readonly string[] = [];
    const slowStart = SlowStart.of(startup.node, () => roster);
    const warmup = Warmup.of(
      startup.node,
      () => roster,
      () => startup.warmup_overshoot ?? 1,
    );
    const failures = FailureScores.of();
    const placement = Placement.of({
      failureCosts: failures.costs,
      region: () => compiled?.regionOf(startup.zone),
      zone: startup.zone,
      inFlight,
      hasIdle: pool.hasIdle,
      random: Math.random,
    });
    const healthChecker: HealthChecker = HealthChecker.of({
      pool,
      newest: () => compiled,
      isRecentlyHealthy: slowStart.isRecentlyHealthy,
      onUnreachable({ instance, group }) {
        meters.darkServers.inc({ group });
        slowStart.markUnreachable(instance);
        ring.info('server marked dark', { instance });
        uplink.send({ kind: 'cold', instance, age: 0, dark: true });
      },
      onRecovered({ instance }) {
        ring.info('server no longer dark', { instance });
        startRamp(instance);
        uplink.send({ kind: 'cold', instance, age: 0, dark: false });
      },
    });
    const startRamp = (instance: string, age = 0) => {
      if (slowStart.start(instance, age)) ring.info('fed gently', { instance });
    };
    const startWarmup = (before: Compiled | undefined, server: Compiled.Server, group: Compiled.Group) => {
      const known = before?.servers.get(server.instance);
      if (known === undefined || known.warming !== server.warming)
        warmup.start(server.instance, server.warming);
      if (known?.isOpen === false && server.isOpen && group.warmup)
        warmup.start(server.instance, group.warmup.span);
    };
    const startNewServers = (before: Compiled | undefined, after: Compiled) => {
      for (const server of after.servers.values()) {
        const group = after.groups.get(server.group);
        if (group?.proof) {
          startWarmup(before, server, group);
          continue;
        }
        const isNew = server.isOpen && before?.servers.get(server.instance)?.isOpen !== true;
        const hadServers = (before?.groups.get(server.group)?.servers.length ?? 0) > 0;
        if (isNew && hadServers) startRamp(server.instance);
      }
      for (const tracker of [slowStart, warmup]) tracker.retain((instance) => after.servers.has(instance));
      placement.retain(after);
      failures.retain((instance) => after.servers.has(instance));
    };
    const currentStamp = () => compiled?.stamp ?? Stamp.none;
    const applyView = () => {
      if (!voucher.isConfirmed()) return;
      const before = compiled;
      compiled = Compiled.of(departures.applyTo(feed.view()));
      if (!compiled) return;
      startNewServers(before, compiled);
      if (!before) firstManifest.markArrived();
      setLimits(compiled.limits);
      ring.info('manifest applied', { stamp: Stamp.text(compiled.stamp) });
      budget.retain(compiled.groups.keys());
      pool.retain(compiled);
      ejector.retain(compiled);
      healthChecker.retain(compiled);
    };
    const departures = LeavingServers.of({
      serial: () => feed.view().platform.serial,
      onChange: () => applyView(),
    });
    const voucher = ViewConfirmation.of(feed, applyView);
    feed.watch(applyView);
    const ready = Ready.of({
      zone: startup.zone,
      isDraining: drain.isDraining,
      compiled: () => compiled,
      listSerial: () => feed.view().platform.serial,
    });
    const isReady = ready.reason;
    const { server, setLimits, announceEnd } = ProxyServer.of(
      {
        compiled: () => compiled,
        firstManifest,
        keyLease,
        drain,
        active: () => active,
        maxConcurrent: Math.min(startup.concurrent ?? defaultConcurrent, overload.maxRequests),
        overload,
        dialect,
        zone: startup.zone,
        placement,
        warmup,
        pool,
        inFlight,
        ejector,
        failures,
        budget,
        quotas,
        stall,
        slowStart,
        healthChecker,
        shares: Shares.of(),
        meters,
        note: ring.info,
      },
      {
        isReady,
        change(by) {
          active += by;
        },
      },
    );
    overload.attach(server);
    const listening = await Listen(server, Address.checked(startup.listen));
    const ops = Ops.of({
      isReady,
      readyPath: startup.ready_path,
      metrics: meters.metrics,
      ring,
      describe: () => ({
        node: startup.node,
        boot,
        stamp: currentStamp(),
        out: ejector.ejected(),
        dark: healthChecker.unreachable(),
        leaving: departures.instances(),
        cold: [...new Set([...warmup.warming(), ...slowStart.active()])],
        tokens: budget.heldInTotal(),
        parent: uplink.parent(),
        version: Version,
      }),
    }).server(overload);
    const opsAt = await Listen(ops, Address.checked(startup.ops));
    const roll = MemberTable.of(() => ({
      node: startup.node,
      program: 'proxy',
      zone: startup.zone,
      boot,
      stamp: currentStamp(),
      http: Address.text(listening),
      wire: '',
      ops: Address.text(opsAt),
      depth: 0,
      ready: isReady() === undefined,
      vouched: voucher.isConfirmed(),
    }));
    const uplink: Uplink = Uplink.run({
      feed,
      members: roll,
      seeds: [startup.agent],
      version: Version,
      hasFixedCandidates: true,
      ...(join ? { open: (_place: string, terms: Link.Options) => join(terms) } : {}),
      reportsMembers: true,
      onPing: voucher.check,
      onParent(agent, stamp) {
        if (agent.vouched) voucher.confirmFrom(stamp);
      },
      onRoster(proxies) {
        roster = proxies;
      },
      onLoads: placement.updateLoads,
      onLeaving: departures.add,
      onFailures: failures.addReported,
      onCold({ instance, age, dark }) {
        if (dark) {
          healthChecker.reportUnreachable(instance);
          slowStart.markUnreachable(instance);
        } else {
          healthChecker.reportRecovered(instance);
          startRamp(instance, age);
        }
      },
      onTokens({ epoch, transfers = [], serial, grants, ...flags }) {
        if (serial > 0) quotas.applyGrants(epoch, serial, grants, flags);
        else if (flags.whole) quotas.reportAll();
        else budget.grant(epoch, transfers);
      },
      note: ring.info,
    });
    return {
      ready: { listen: Address.text(listening), ops: Address.text(opsAt) },
      async drain() {
        drain.begin();
        announceEnd();
        uplink.announce();
        await Timer.sleep(startup.linger ?? 0);
        const late = Timer.after(drainMs() - (startup.linger ?? 0), () => server.closeAllConnections());
        await new Promise<void>((resolve) => {
          server.close(() => resolve());
          server.closeIdleConnections();
        });
        late.stop();
        uplink.stop();
        await uplink.done;
        healthChecker.stop();
        await pool.close();
        departures.stop();
        stall.stop();
        maintenance.stop();
        ops.close();
      },
    };
  },
};

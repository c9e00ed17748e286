/**
 * The control node program: its data folder, its acceptor of the register, replication, the sessions with agents
 * and proxies, and the HTTP interface.
 */

import type { Server } from 'node:http';
import { Address } from '../common/address.js';
import { Epoch } from '../common/epoch.js';
import { Id } from '../common/id.js';
import { Instant } from '../common/instant.js';
import { Listen } from '../common/listen.js';
import { Timer } from '../common/timer.js';
import { BudgetDuty } from '../duty/budget-duty.js';
import { FailureAggregator } from '../duty/failure-aggregator.js';
import { FallbackListDuty } from '../duty/fallback-list-duty.js';
import { ListDuty } from '../duty/list-duty.js';
import { ReportDuty } from '../duty/report-duty.js';
import { RetryLimits } from '../duty/retry-limits.js';
import { Proposer } from '../epoch/proposer.js';
import type { LogBuffer } from '../log/log-buffer.js';
import { Children } from '../membership/children.js';
import { Downlink } from '../membership/downlink.js';
import { MemberTable } from '../membership/member-table.js';
import { Roster } from '../membership/roster.js';
import { TransferQueue } from '../membership/transfer-queue.js';
import { Feed } from '../news/feed.js';
import { Relays } from '../news/relays.js';
import { Overload } from '../overload/overload.js';
import { Backup } from '../replica/backup.js';
import { TransferMeter } from '../replica/transfer-meter.js';
import { Metrics } from '../startup/metrics.js';
import { Ops } from '../startup/ops.js';
import type { Program } from '../startup/program.js';
import type { Startup } from '../startup/startup.js';
import { Version } from '../startup/version.js';
import { Seal } from '../store/seal.js';
import { Frame } from '../wire/frame.js';
import { LinkServer } from '../wire/link-server.js';
import type { Adapter } from './adapter.js';
import { RefreshServerList } from './commands/refresh-server-list.js';
import { Core } from './core.js';
import { DataFolder } from './data-folder.js';
import { DirectoryHttp } from './directory-http.js';
import { ControlHttp } from './http.js';
import { NearbyAgents } from './nearby-agents.js';
import { PeerRequestHandler } from './peer-request-handler.js';
import { Peers } from './peers.js';
import { PrimaryGateway } from './primary-gateway.js';
import type { ReadDirectory } from './queries/read-directory.js';
import { QuotaDuties } from './quota-duties.js';
import { ShutdownStep } from './shutdown-step.js';

/** The directory answers only this long after the start, in milliseconds: before that the roll is incomplete. */
const directoryReadyAfterMs = 1500;
/** The primary's periodic duties run only while a majority confirmed it within this time, in milliseconds. */
const maxConfirmationAgeMs = 1200;
/** A confirmed primary counts as in contact for this long after it was last heard of, in milliseconds. */
const maxContactAgeMs = 1500;
/** A core polls the server list itself once no primary was heard of for this long, in milliseconds. */
const primaryUnheardAfterMs = 2000;
/** How long shutdown waits for the core's release, in milliseconds; above the limit that the release sets itself. */
const leaveTimeoutMs = 2600;
/** How long shutdown waits for the core to stop, in milliseconds; above the limit that the core sets itself. */
const stopTimeoutMs = 750;

/** Starts the control node program. */
export type Control = {
  /** Resolves once the node listens for peers and for HTTP requests. */
  readonly start: (startup: Startup['control'], logBuffer: LogBuffer, adapter?: Adapter) => Promise<Program>;
};

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

/** The control node program. */
export const Control: Control = {
  async start(startup, logBuffer, adapter = {}) {
    const startedAt = Instant.now();
    const seal = startup.key_file === undefined ? undefined : await Seal.read(startup.key_file);
    const { register, store, horizon } = await DataFolder.open(startup.data, logBuffer.error, seal);
    const feed = Feed.of();
    const boot = Id.boot();
    const overload = Overload.of(startup);
    let wire = startup.wire;
    let http = startup.http;
    let core: Core | undefined;
    const self = () => ({ disk: register.disk, node: startup.node, wire, http });
    const roll: MemberTable = MemberTable.of(() => ({
      node: startup.node,
      program: 'control',
      zone: startup.zone,
      boot,
      stamp: feed.stamp(),
      http,
      wire,
      ops: http,
      depth: 0,
      ready: core?.term() !== undefined,
      vouched: false,
    }));
    const age = (): number => core?.confirmationAge() ?? feed.age();
    const verifiedAge = (): number => core?.confirmationAge() ?? Instant.since(feed.verifiedAt());
    /** Whether a primary that a majority confirms was heard of recently, directly or through other cores. */
    const isInTouch = () => age() < maxContactAgeMs;
    const children = Children.of(roll);
    const turns = TransferQueue.of();
    const isAgentOrProxy = (node: string) => (roll.get(node)?.program ?? 'control') !== 'control';
    const roster = Roster.of();
    const rosterTimer = Timer.every(250, () => {
      quotaDuties.maintain(budget.holder() === startup.node);
      const proxies = roll.all().filter((entry) => entry.program === 'proxy');
      const names = proxies.map((entry) => entry.node);
      roster.set(isInTouch() ? names : [...new Set([...roster.names(), ...names])]);
    });
    const failures = FailureAggregator.of((failed) => children.broadcast({ kind: 'failures', failed }));
    const sendDown = (frame: BudgetDuty.Tokens) => void children.send(frame.node, frame);
    const peers: Peers = Peers.of({
      seeds: startup.seeds,
      ownAddress: () => wire,
      feed,
      age,
      roll,
      onTokens: ({ stamp: _stamp, ...frame }) => sendDown(frame),
      onLoads: (loads) => children.broadcast({ kind: 'loads', loads }, isAgentOrProxy),
      onLeaving: (instances) => children.broadcast({ kind: 'leaving', instances }, isAgentOrProxy),
      onFailures: (failed) => children.broadcast({ kind: 'failures', failed }, isAgentOrProxy),
      onCold: ({ stamp: _stamp, ...frame }) => children.broadcast(frame, isAgentOrProxy),
      onConnect: () => core?.wake(),
      note: logBuffer.info,
    });
    const quotaDuties = QuotaDuties.of({
      own: startup.node,
      disk: register.disk,
      register,
      store,
      feed,
      core: () => core,
      isInTouch,
      roster: roster.names,
      horizon,
      sendUp: (node, message) => void peers.sendUp(node, message),
      sendDown,
      note: logBuffer.info,
    });
    const { quotas, allowance } = quotaDuties;
    const budget = BudgetDuty.of({
      quotas,
      allowance,
      poolCapacity: () => RetryLimits.poolCapacity(startup.extra_tries, roster.names().length),
      hasRecentPrimary: isInTouch,
      own: startup.node,
      term: () => core?.term(),
      isLive: (node) => roll.get(node) !== undefined,
      forward: (node, frame) => void peers.sendUp(node, frame),
      respond: sendDown,
    });
    const pooledTokens = () => {
      const groups = Object.entries(budget.pooled()).map(
        ([name, amount]) => [name, amount / RetryLimits.oneToken] as const,
      );
      return {
        pooled: groups.reduce((sum, [, tokens]) => sum + tokens, 0),
        groups: Object.fromEntries(groups),
      };
    };
    const highest = () =>
      Epoch.of(
        Math.max(feed.stamp().epoch, store.state().stamp.epoch, ...roll.all().map((one) => one.stamp.epoch)),
      );
    const proposer = Proposer.of({
      register,
      peerClients: peers.clients,
      core: self,
      highest,
      isAble: () => store.isHealthy() && core?.isLeaving() !== true,
      held: () => store.state().stamp,
    });
    const transfers = TransferMeter.of();
    const isLeading = () => core?.leading() !== undefined;
    const backup = Backup.of({ register, store, isLeading, meter: transfers });
    const peerRequestHandler = PeerRequestHandler.of({
      register,
      proposer,
      backup,
      onTakeoverRequest: () => core?.requestTakeover(),
      leave: (leaving, successor) =>
        core?.release(leaving, successor) ?? Promise.resolve('this core has just started'),
      join: (joining) => core?.join(joining) ?? Promise.resolve('this core has just started'),
      note: logBuffer.info,
    });
    const controlAddresses = () =>
      roll
        .all()
        .filter((one) => one.program === 'control' && one.wire !== '')
        .map((one) => one.wire);
    const coreAddresses = () => {
      const cores =
        core
          ?.term()
          ?.cores.map((one) => one.wire)
          .filter((address) => address !== '') ?? [];
      return [
        ...new Set([...cores, ...controlAddresses().sort(), ...(cores.length > 0 ? [] : startup.seeds)]),
      ];
    };
    const nearbyAgents = NearbyAgents.of(roll);
    const linkServer = await LinkServer.open({
      address: Address.checked(startup.wire),
      stamp: feed.stamp,
      age,
      verifiedAge,
      pingsWhenBusy: true,
      overload,
      note: logBuffer.info,
      serve: (link, hello, frames) =>
        hello.aim === 'core'
          ? peerRequestHandler.serve(link, frames)
          : Downlink.serve(link, hello, frames, {
              feed,
              members: roll,
              children,
              peers: (child) =>
                child.program === 'control' ? coreAddresses() : [...coreAddresses(), ...nearbyAgents(child)],
              relays: (child) => Relays.of(child, roll.all()),
              isRelay: (child) => child.program === 'control' || Relays.isRelay(child, roll.all()),
              transfers: turns,
              version: Version,
              age,
              isViewSource: () => core?.leading() !== undefined || feed.age() > maxContactAgeMs,
              roster,
              onTokens: ({ stamp: _stamp, ...frame }) => budget.receive(frame),
              onHorizon: ({ stamp: _stamp, ...message }) => quotaDuties.receiveHorizon(message),
              onCold: ({ stamp: _stamp, ...frame }) => children.broadcast(frame),
              onFailures: failures.add,
            }),
    });
    wire = LinkServer.text(linkServer);
    core = Core.of({
      register,
      store,
      losses: startup.losses ?? 1,
      isInitial: startup.initial ?? false,
      seeds: startup.seeds,
      proposer,
      self,
      clientFor: (one) => peers.clientAt(one.wire),
      connectTo: peers.connectTo,
      addresses: controlAddresses,
      offeredView: feed.view,
      quietFor: roll.sinceLastJoin,
      markRetired: () => DataFolder.markRetired(startup.data),
      publish(view) {
        if (view.manifest) feed.offer(view);
      },
      note: logBuffer.info,
      alert: logBuffer.error,
      transfers,
    });
    const running = core;
    const metrics = Metrics.of();
    const { gauge } = metrics;
    gauge('epoch', 'epoch of the register', () => running.term()?.epoch ?? 0);
    gauge('revision', 'revision of the state held', () => store.state().stamp.revision);
    gauge('leading', 'whether this core is the primary', () => (running.leading() ? 1 : 0));
    gauge('tokens_pooled', 'tokens for extra tries in the pools here', () => pooledTokens().pooled);
    gauge('views_waiting', 'children that wait for their turn to get a whole view', turns.queueLength);
    gauge('members', 'nodes on the roll', () => roll.all().length);
    gauge('servers', 'servers on the list held', () => store.state().platform.servers.length);
    gauge('list_serial', 'serial of the list held', () => store.state().platform.serial);
    gauge('links_dropped', 'links closed for what they sent', linkServer.refusedCount);
    gauge('frames_unknown', 'frames dropped since their kind is not known here', Frame.unknownCount);
    const { counts } = transfers;
    gauge(
      'cores_behind',
      'cores that lack the acknowledged state, told by the primary',
      () => running.leading()?.laggingMembers() ?? 0,
    );
    gauge('transfer_bytes_sent', 'bytes of snapshots and tails sent to cores', () => counts().bytesSent);
    gauge('transfer_bytes_received', 'bytes of snapshots and tails taken in', () => counts().bytesReceived);
    gauge('snapshots_taken', 'snapshots synced here', () => counts().snapshotsTaken);
    gauge('tails_taken', 'tails of changes synced here', () => counts().tailsTaken);
    overload.addMetrics(metrics);
    gauge('news_dropped', 'news dropped as not newer', feed.ignoredCount);
    const ops = Ops.of({
      metrics,
      ring: logBuffer,
      isReady: () =>
        running.isRetired()
          ? 'the slot of this core was given to another disk'
          : running.term()
            ? undefined
            : 'no term is known yet',
      describe: () => ({
        node: startup.node,
        state: running.state(),
        tenure: running.term() ?? null,
        stamp: feed.stamp(),
        held: store.state().stamp,
        version: Version,
      }),
    });
    const gateway = PrimaryGateway.of({ leading: running.leading, proposer });
    const directory: ReadDirectory.Dependencies = {
      roll,
      namesDrainingMs: startup.names_draining ?? 0,
      isReady: () => Instant.since(startedAt) > directoryReadyAfterMs,
      regionOf: (zone) => feed.view().manifest?.document.zones[zone]?.region,
    };
    const controlHttp = ControlHttp.of({
      startup,
      gateway,
      core: running,
      roll,
      directory,
      adapter,
      loads: () => ({ loads: reports?.loads() ?? [] }),
      budget: () => ({ holder: budget.holder(), ...pooledTokens() }),
      usage: () => ({ holder: budget.holder(), teams: quotas.usage() }),
      ownHttpAddress: () => http,
      isConnected: (one) => peers.clientAt(one.wire)?.downFor() === 0,
      operations: ops.app,
      overload,
      note: logBuffer.info,
    });
    const { server } = controlHttp;
    gauge(
      'requests_refused',
      'requests of operators and the platform refused before they were handled',
      controlHttp.refusedCount,
    );
    http = Address.text(await Listen(server, Address.checked(startup.http)));
    const directoryServer = adapter.directory && DirectoryHttp.of(adapter.directory, directory, overload);
    if (directoryServer) await Listen(directoryServer, Address.checked(adapter.directory!.address));
    const list =
      adapter.list &&
      ListDuty.run({
        source: adapter.list,
        isHeld: () => (running.confirmationAge() ?? Number.POSITIVE_INFINITY) < maxConfirmationAgeMs,
        currentServers: () => store.state().platform.servers,
        renew: async (servers) => (await RefreshServerList.run(gateway, { servers })).status === 200,
        note: logBuffer.info,
      });
    const fallbackList =
      adapter.list &&
      FallbackListDuty.run({
        source: adapter.list,
        hasPrimary: () => Instant.since(startedAt) < primaryUnheardAfterMs || age() < primaryUnheardAfterMs,
        position() {
          const cores = running.term()?.cores ?? [];
          const index = cores.findIndex((one) => one.disk === register.disk);
          return { index: Math.max(0, index), count: Math.max(cores.length, startup.seeds.length) };
        },
        currentServers: () => (feed.view().manifest ? feed.view() : store.state()).platform.servers,
        announceLeaving: (instances) => children.broadcast({ kind: 'leaving', instances }),
        note: logBuffer.info,
      });
    const reports =
      adapter.reports &&
      ReportDuty.run({
        source: adapter.reports,
        isHeld: () => (running.confirmationAge() ?? Number.POSITIVE_INFINITY) < maxConfirmationAgeMs,
        servers: () => {
          const { manifest, platform } = feed.view();
          return platform.servers.filter(({ group }) => manifest?.document.groups[group]?.kind === 'model');
        },
        publish: (loads) => children.broadcast({ kind: 'loads', loads }),
      });
    running.begin();
    return {
      ready: { wire, http },
      drain: () =>
        ShutdownStep.runAll(logBuffer.info, [
          { name: 'hand over the core role', timeout: leaveTimeoutMs, run: running.leave },
          {
            name: 'timers and periodic duties',
            run: async () => {
              rosterTimer.stop();
              failures.stop();
              await Promise.all([list?.stop(), fallbackList?.stop(), reports?.stop()]);
            },
          },
          { name: 'core', timeout: stopTimeoutMs, run: running.stop },
          { name: 'peer links', run: () => Promise.all([peers.stop(), linkServer.close()]) },
          {
            name: 'HTTP servers',
            run: async () => {
              await Promise.all([server, ...(directoryServer ? [directoryServer] : [])].map(closeServer));
              controlHttp.close();
            },
          },
          { name: 'store', run: () => Promise.all([store.close(), horizon.close()]) },
        ]),
    };
  },
};

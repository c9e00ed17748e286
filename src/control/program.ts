// A control node as a program: its disk, its part of the register, replication, sessions with agents,
// and the HTTP interface.
import type { Server } from 'node:http';
import { Address } from '../common/address.js';
import { Epoch } from '../common/epoch.js';
import { Id } from '../common/id.js';
import { Instant } from '../common/instant.js';
import { Listen } from '../common/listen.js';
import { Timer } from '../common/timer.js';
import { BudgetDuty } from '../duty/budget-duty.js';
import { FailureSums } from '../duty/failure-sums.js';
import { ListDuty } from '../duty/list-duty.js';
import { LookoutDuty } from '../duty/lookout-duty.js';
import { QuotaDuty } from '../duty/quota-duty.js';
import { ReportDuty } from '../duty/report-duty.js';
import { Proposer } from '../epoch/proposer.js';
import type { LogBuffer } from '../log/log-buffer.js';
import { Children } from '../membership/children.js';
import { Downlink } from '../membership/downlink.js';
import { Places } from '../membership/places.js';
import { Roll } from '../membership/roll.js';
import { Roster } from '../membership/roster.js';
import { Turns } from '../membership/turns.js';
import { Feed } from '../news/feed.js';
import { Relays } from '../news/relays.js';
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
import { RenewList } from './commands/renew-list.js';
import { Core } from './core.js';
import { DataFolder } from './data-folder.js';
import { DirectoryHttp } from './directory-http.js';
import { ControlHttp } from './http.js';
import { PeerRequestHandler } from './peer-request-handler.js';
import { Peers } from './peers.js';
import { PrimaryGateway } from './primary-gateway.js';
import type { ReadDirectory } from './queries/read-directory.js';
import { ShutdownStep } from './shutdown-step.js';

const nearbyAgents = 6;
const knowsAfter = 1500;
const confirmedWithin = 1200;
const freshFor = 1500;
const unheardAfter = 2000;
/** How long an end waits for the core's release, and for what the core does, in milliseconds. */
const leaveWithin = 2600;
const stopWithin = 750;

export type Control = {
  readonly start: (startup: Startup['control'], ring: LogBuffer, adapter?: Adapter) => Promise<Program>;
};

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

export const Control: Control = {
  async start(startup, ring, adapter = {}) {
    const began = Instant.now();
    const seal = startup.key_file === undefined ? undefined : await Seal.read(startup.key_file);
    const { register, store } = await DataFolder.open(startup.data, ring.error, seal);
    const feed = Feed.of();
    const boot = Id.boot();
    let wire = startup.wire;
    let http = startup.http;
    let core: Core | undefined;
    const self = () => ({ disk: register.disk, node: startup.node, wire, http });
    const roll: Roll = Roll.of(() => ({
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
    /** Whether a primary that a majority confirms was heard of just now, here or over the others. */
    const isInTouch = () => age() < freshFor;
    const children = Children.of(roll);
    const turns = Turns.of();
    const isBelow = (node: string) => (roll.get(node)?.program ?? 'control') !== 'control';
    const roster = Roster.of();
    const rosters = Timer.every(250, () => {
      quotas.look(core?.term()?.epoch ?? 0);
      const proxies = roll.all().filter((entry) => entry.program === 'proxy');
      const names = proxies.map((entry) => entry.node);
      roster.set(isInTouch() ? names : [...new Set([...roster.names(), ...names])]);
    });
    const failures = FailureSums.of((failed) => children.broadcast({ kind: 'failures', failed }));
    const sendDown = (frame: BudgetDuty.Tokens) => void children.send(frame.node, frame);
    const peers: Peers = Peers.of({
      seeds: startup.seeds,
      ownAddress: () => wire,
      feed,
      age,
      roll,
      onTokens: ({ stamp: _stamp, ...frame }) => sendDown(frame),
      onLoads: (loads) => children.broadcast({ kind: 'loads', loads }, isBelow),
      onLeaving: (instances) => children.broadcast({ kind: 'leaving', instances }, isBelow),
      onFailures: (failed) => children.broadcast({ kind: 'failures', failed }, isBelow),
      onCold: ({ stamp: _stamp, ...frame }) => children.broadcast(frame, isBelow),
      onConnect: () => core?.wake(),
      note: ring.info,
    });
    const quotas = QuotaDuty.of({
      quotaOf: (team) => feed.view().manifest?.document.teams[team]?.quota,
      roster: roster.names,
      ask: (node) => sendDown({ ...QuotaDuty.question, node }),
    });
    const budget = BudgetDuty.of({
      quotas,
      isInTouch,
      own: startup.node,
      term: () => core?.term(),
      isLive: (node) => roll.get(node) !== undefined,
      passUp: (node, frame) => void peers.sendUp(node, frame),
      sendDown,
    });
    const highest = () =>
      Epoch.of(
        Math.max(feed.stamp().epoch, store.state().stamp.epoch, ...roll.all().map((one) => one.stamp.epoch)),
      );
    const proposer = Proposer.of({
      register,
      couriers: peers.clients,
      core: self,
      highest,
      isAble: () => store.isSound() && core?.isLeaving() !== true,
      held: () => store.state().stamp,
    });
    const transfers = TransferMeter.of();
    const isLeading = () => core?.leading() !== undefined;
    const backup = Backup.of({ register, store, isLeading, meter: transfers });
    const desk = PeerRequestHandler.of({
      register,
      proposer,
      backup,
      onTakeoverRequest: () => core?.requestTakeover(),
      leave: (leaving, successor) =>
        core?.release(leaving, successor) ?? Promise.resolve('this core has just started'),
      join: (joining) => core?.join(joining) ?? Promise.resolve('this core has just started'),
      note: ring.info,
    });
    const controls = () =>
      roll
        .all()
        .filter((one) => one.program === 'control' && one.wire !== '')
        .map((one) => one.wire);
    const places = () => {
      const cores =
        core
          ?.term()
          ?.cores.map((one) => one.wire)
          .filter((place) => place !== '') ?? [];
      return [...new Set([...cores, ...controls().sort(), ...(cores.length > 0 ? [] : startup.seeds)])];
    };
    const nearby = (child: Frame.Entry) => {
      const agents = roll.all().filter((one) => one.program === 'agent' && one.node !== child.node);
      const far = agents.filter((one) => one.zone !== child.zone);
      const near = agents.filter((one) => one.zone === child.zone);
      const start = Places.hash(child.node) % Math.max(1, far.length);
      return [...near.slice(0, 2), ...far.slice(start), ...far.slice(0, start)]
        .slice(0, nearbyAgents)
        .map((one) => one.wire);
    };
    const doorway = await LinkServer.open({
      address: Address.checked(startup.wire),
      stamp: feed.stamp,
      age,
      pingsWhenBusy: true,
      note: ring.info,
      serve: (link, hello, frames) =>
        hello.aim === 'core'
          ? desk.serve(link, frames)
          : Downlink.serve(link, hello, frames, {
              feed,
              roll,
              children,
              peers: (child) => (child.program === 'control' ? places() : [...places(), ...nearby(child)]),
              relays: (child) => Relays.of(child, roll.all()),
              isRelay: (child) => child.program === 'control' || Relays.isOne(child, roll.all()),
              turns,
              version: Version,
              age,
              isFirstHand: () => core?.leading() !== undefined || feed.age() > freshFor,
              roster,
              onTokens: ({ stamp: _stamp, ...frame }) => budget.take(frame),
              onCold: ({ stamp: _stamp, ...frame }) => children.broadcast(frame),
              onFailures: failures.add,
            }),
    });
    wire = LinkServer.text(doorway);
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
      addresses: controls,
      offeredView: feed.view,
      quietFor: roll.quietFor,
      markRetired: () => DataFolder.markRetired(startup.data),
      publish(view) {
        if (view.manifest) feed.offer(view);
      },
      note: ring.info,
      alert: ring.error,
      transfers,
    });
    const running = core;
    const metrics = Metrics.of();
    const { gauge } = metrics;
    gauge('epoch', 'epoch of the register', () => running.term()?.epoch ?? 0);
    gauge('revision', 'revision of the state held', () => store.state().stamp.revision);
    gauge('leading', 'whether this core is the primary', () => (running.leading() ? 1 : 0));
    gauge('tokens_pooled', 'tokens for extra tries in the pool here', () => budget.pooled() / 1000);
    gauge('views_waiting', 'children that wait for their turn to get a whole view', turns.waiting);
    gauge('members', 'nodes on the roll', () => roll.all().length);
    gauge('servers', 'servers on the list held', () => store.state().platform.servers.length);
    gauge('list_serial', 'serial of the list held', () => store.state().platform.serial);
    gauge('links_dropped', 'links closed for what they sent', doorway.refusedCount);
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
    gauge('news_dropped', 'news dropped as not newer', feed.ignored);
    const ops = Ops.of({
      metrics,
      ring,
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
    const office = PrimaryGateway.of({ leading: running.leading, proposer });
    const directory: ReadDirectory.Needs = {
      roll,
      knows: () => Instant.since(began) > knowsAfter,
      regionOf: (zone) => feed.view().manifest?.document.zones[zone]?.region,
    };
    const controlHttp = ControlHttp.of({
      startup,
      office,
      core: running,
      roll,
      directory,
      adapter,
      loads: () => ({ loads: reports?.loads() ?? [] }),
      budget: () => ({ holder: budget.holder(), pooled: budget.pooled() / 1000 }),
      usage: () => ({ holder: budget.holder(), teams: quotas.usage() }),
      ownHttp: () => http,
      isReached: (one) => peers.clientAt(one.wire)?.downFor() === 0,
      operations: ops.app,
      note: ring.info,
    });
    const { server } = controlHttp;
    http = Address.text(await Listen(server, Address.checked(startup.http)));
    const callers = adapter.directory && DirectoryHttp.of(adapter.directory, directory);
    if (callers) await Listen(callers, Address.checked(adapter.directory!.address));
    const list =
      adapter.list &&
      ListDuty.run({
        source: adapter.list,
        isHeld: () => (running.confirmationAge() ?? Number.POSITIVE_INFINITY) < confirmedWithin,
        held: () => store.state().platform.servers,
        renew: async (servers) => (await RenewList.run(office, { servers })).status === 200,
        note: ring.info,
      });
    const lookout =
      adapter.list &&
      LookoutDuty.run({
        source: adapter.list,
        hasPrimary: () => Instant.since(began) < unheardAfter || age() < unheardAfter,
        turn() {
          const cores = running.term()?.cores ?? [];
          const index = cores.findIndex((one) => one.disk === register.disk);
          return { index: Math.max(0, index), count: Math.max(cores.length, startup.seeds.length) };
        },
        held: () => (feed.view().manifest ? feed.view() : store.state()).platform.servers,
        tell: (instances) => children.broadcast({ kind: 'leaving', instances }),
        note: ring.info,
      });
    const reports =
      adapter.reports &&
      ReportDuty.run({
        source: adapter.reports,
        isHeld: () => (running.confirmationAge() ?? Number.POSITIVE_INFINITY) < confirmedWithin,
        servers: () => {
          const { manifest, platform } = feed.view();
          return platform.servers.filter(({ group }) => manifest?.document.groups[group]?.kind === 'model');
        },
        tell: (loads) => children.broadcast({ kind: 'loads', loads }),
      });
    running.begin();
    return {
      ready: { wire, http },
      drain: () =>
        ShutdownStep.runAll(ring.info, [
          { name: 'leaving the cores', timeout: leaveWithin, run: running.leave },
          {
            name: 'timers and duties',
            run: async () => {
              rosters.stop();
              failures.stop();
              await Promise.all([list?.stop(), lookout?.stop(), reports?.stop()]);
            },
          },
          { name: 'the core', timeout: stopWithin, run: running.stop },
          { name: 'links to the others', run: () => Promise.all([peers.stop(), doorway.close()]) },
          {
            name: 'HTTP',
            run: async () => {
              await Promise.all([server, ...(callers ? [callers] : [])].map(closeServer));
              controlHttp.close();
            },
          },
          { name: 'the state', run: store.close },
        ]),
    };
  },
};

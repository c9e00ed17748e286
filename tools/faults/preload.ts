// Loaded into a program from outside, before it starts: makes its disk slow, stalled or full, its wall
// clock jump, and its links to other machines go dark. A cut is like one of the network: what is written
// meanwhile is held back and goes out when the cut heals; connects wait; the far end sees no close.
import { readFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import net from 'node:net';
import type { Faults } from './faults.js';

type Any = Record<string, (...args: unknown[]) => unknown>;
type Patched = net.Socket & { _handle: { close: () => void; readStop: () => void } | null };

const path = process.env.BRAMBLEBEND_FAULTS ?? '';
const ownIp = process.env.BRAMBLEBEND_FAULTS_IP ?? '';
const own = process.env.BRAMBLEBEND_FAULTS_NODE ?? '';

let faults: Faults.State = { cuts: [], disks: {}, clocks: {} };
let cuts = new Set<string>();
let seen = '';
let lookedAt = 0;
const held: { readonly isFree: () => boolean; readonly go: () => void }[] = [];

const isCut = (from: string | undefined, to: string | undefined): boolean =>
  from !== undefined && to !== undefined && cuts.has(`${from}>${to}`);

const release = () => {
  const waiting = held.splice(0);
  for (const one of waiting)
    if (one.isFree()) one.go();
    else held.push(one);
};

const look = () => {
  lookedAt = performance.now();
  try {
    const text = readFileSync(path, 'utf8');
    if (text === seen) return;
    faults = JSON.parse(text) as Faults.State;
    seen = text;
    cuts = new Set(faults.cuts);
    release();
  } catch {
    return;
  }
};

// What is sent or dialled just after a fault was set must meet it, not only once the beat has come.
const lookNow = () => {
  if (performance.now() - lookedAt >= 1) look();
};

const socketPrototype = net.Socket.prototype as unknown as Any;
const { connect, _writeGeneric, _final, _destroy } = socketPrototype as Required<Any>;
const holding = new WeakMap<net.Socket, number>();

const hold = (socket: net.Socket, go: () => void) => {
  holding.set(socket, (holding.get(socket) ?? 0) + 1);
  const remote = socket.remoteAddress;
  held.push({
    isFree: () => !isCut(ownIp, remote),
    go() {
      holding.set(socket, (holding.get(socket) ?? 1) - 1);
      if (!socket.destroyed) go();
    },
  });
};

const mustHold = (socket: net.Socket): boolean => {
  lookNow();
  return isCut(ownIp, socket.remoteAddress) || (holding.get(socket) ?? 0) > 0;
};

socketPrototype.connect = function (this: net.Socket, ...args: unknown[]) {
  const first = args[0];
  const options = (Array.isArray(first) ? first[0] : first) as net.TcpNetConnectOpts | undefined;
  const host = typeof options === 'object' ? options?.host : undefined;
  if (host?.startsWith('127.') && host !== '127.0.0.1') {
    const changed = { ...options, localAddress: ownIp };
    if (Array.isArray(first)) first[0] = changed;
    else args[0] = changed;
    lookNow();
    const isDark = () => isCut(ownIp, host) || isCut(host, ownIp);
    if (isDark()) {
      held.push({
        isFree: () => !isDark(),
        go: () => {
          if (!this.destroyed) connect!.apply(this, args);
        },
      });
      this.connecting;
      return this;
    }
  }
  return connect!.apply(this, args);
};
socketPrototype._writeGeneric = function (this: net.Socket, ...args: unknown[]) {
  if (!mustHold(this)) return _writeGeneric!.apply(this, args);
  hold(this, () => _writeGeneric!.apply(this, args));
  return undefined;
};
socketPrototype._final = function (this: net.Socket, ...args: unknown[]) {
  if (!mustHold(this)) return _final!.apply(this, args);
  hold(this, () => _final!.apply(this, args));
  return undefined;
};
socketPrototype._destroy = function (this: Patched, ...args: unknown[]) {
  const handle = this._handle;
  const remote = this.remoteAddress;
  if (handle && isCut(ownIp, remote)) {
    handle.readStop();
    this._handle = null;
    held.push({ isFree: () => !isCut(ownIp, remote), go: () => handle.close() });
  }
  return _destroy!.apply(this, args);
};

const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const suffer = async () => {
  const kind = faults.disks[own];
  if (kind === 'slow') await pause(150);
  while (faults.disks[own] === 'stall') await pause(20);
  if (kind === 'full') throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
  if (kind === 'gone') throw Object.assign(new Error('input/output error'), { code: 'EIO' });
};

const probe = await open(new URL(import.meta.url).pathname, 'r');
const filePrototype = Object.getPrototypeOf(probe) as Any;
await probe.close();
for (const name of ['write', 'datasync', 'sync', 'truncate']) {
  const original = filePrototype[name]!;
  filePrototype[name] = async function (this: unknown, ...args: unknown[]) {
    await suffer();
    return original.apply(this, args);
  };
}

const RealDate = Date;
const shifted = () => RealDate.now() + (faults.clocks[own] ?? 0);
globalThis.Date = class extends RealDate {
  constructor(...args: unknown[]) {
    super(...((args.length === 0 ? [shifted()] : args) as [number]));
  }
  static override now() {
    return shifted();
  }
} as DateConstructor;

look();
setInterval(look, 20).unref();

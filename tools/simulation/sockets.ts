// Connections between processes of the simulated hosts, as the two functions of `node:net` that the product uses. The
// sockets are duplex streams as Node's own are. A process that ends without its host lets the kernel finish what it
// wrote and close; a host that loses its power leaves its peers with half-open connections.
import { EventEmitter } from 'node:events';
import { Duplex } from 'node:stream';
import { type Lane, Network } from './network.js';
import type { Process } from './process.js';

type Dialled = { readonly host: string; readonly port: number };

/** The part of `node:net` that the product uses, for one process. */
export type Sockets = {
  readonly connect: (to: Dialled) => Duplex;
  readonly createServer: (take: (socket: Duplex) => void) => EventEmitter;
};

const mostUnread = 256 * 1024;
const segment = 16 * 1024;

const failure = (code: string): Error => Object.assign(new Error(`connection: ${code}`), { code });

/** One end of a connection. */
class End extends Duplex {
  readonly remoteAddress: string;
  readonly remotePort: number;
  other: End | undefined;
  readonly lane: Lane = Network.lane();
  private unread = 0;
  private waiting: (() => void)[] = [];
  private readonly forget: () => void;
  private isGone = false;

  constructor(
    readonly network: Network,
    readonly own: Process,
    remote: Dialled,
  ) {
    super({ allowHalfOpen: false, emitClose: true });
    this.remoteAddress = remote.host;
    this.remotePort = remote.port;
    const stopReset = network.onReset(own.ip, () => this.fail('ECONNRESET', true));
    const stopEnd = own.onEnd((isClean) => this.vanish(isClean));
    this.forget = () => {
      stopReset();
      stopEnd();
    };
  }
  setNoDelay(): this {
    return this;
  }
  override _read(): void {}
  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    for (let at = 0; at < chunk.length; at += segment) this.carry(chunk.subarray(at, at + segment));
    if (this.unread < mostUnread) done();
    else this.waiting.push(done);
  }
  override _final(done: () => void): void {
    done();
  }
  override _destroy(error: Error | null, done: (error: Error | null) => void): void {
    this.leave();
    done(error);
  }
  /** The connection was reset from outside. */
  fail(code: string, isTold: boolean): void {
    if (this.isGone) return;
    if (!isTold) {
      this.isGone = true;
      this.forget();
    }
    this.own.run(() => this.destroy(failure(code)));
  }
  private vanish(isClean: boolean): void {
    if (isClean) this.leave();
    this.isGone = true;
    this.forget();
  }
  private leave(): void {
    if (this.isGone) return;
    this.isGone = true;
    this.forget();
    const { other } = this;
    if (!other) return;
    this.network.carry(this.own.ip, other.own.ip, 40, () => other.ended(), this.lane);
  }
  private carry(bytes: Buffer): void {
    const { other } = this;
    if (!other) return;
    this.unread += bytes.length;
    this.network.carry(
      this.own.ip,
      other.own.ip,
      bytes.length + 40,
      () => this.arrived(bytes, other),
      this.lane,
    );
  }
  private arrived(bytes: Buffer, other: End): void {
    this.unread -= bytes.length;
    if (other.isGone) {
      this.network.carry(other.own.ip, this.own.ip, 40, () => this.fail('ECONNRESET', false));
      return;
    }
    other.own.run(() => void other.push(bytes));
    if (this.unread >= mostUnread || this.waiting.length === 0) return;
    const waiting = this.waiting;
    this.waiting = [];
    this.own.run(() => {
      for (const done of waiting) done();
    });
  }
  /** The peer closed: what it sent before has been pushed already. */
  ended(): void {
    if (this.isGone) return;
    this.own.run(() => void this.push(null));
  }
}

const dial = (network: Network, own: Process, to: Dialled): Duplex => {
  const end = new End(network, own, to);
  const host = network.host(to.host);
  network.carry(own.ip, to.host, 40, () => {
    if (end.destroyed || !own.isAlive()) return;
    const listener = host.listeners.get(to.port);
    if (listener) listener(end);
    else network.carry(to.host, own.ip, 40, () => end.fail('ECONNREFUSED', false));
  });
  return end;
};

const accept = (network: Network, own: Process, end: End, take: (socket: Duplex) => void): void => {
  const mine = new End(network, own, { host: end.own.ip, port: network.nextPort() });
  mine.other = end;
  network.carry(
    own.ip,
    end.own.ip,
    40,
    () => {
      if (end.destroyed || !end.own.isAlive()) return mine.fail('ECONNRESET', false);
      end.other = mine;
      end.own.run(() => void end.emit('connect'));
    },
    mine.lane,
  );
  own.run(() => take(mine));
};

export const Sockets = {
  of: (network: Network, own: Process): Sockets => ({
    connect: (to) => dial(network, own, to),
    createServer(take) {
      const server = new EventEmitter();
      const host = network.host(own.ip);
      let port = 0;
      return Object.assign(server, {
        listen(wanted: number, _host: string, ready: () => void) {
          port = wanted;
          host.listeners.set(port, (end) => accept(network, own, end as End, take));
          own.after(0.05, ready);
          return server;
        },
        address: () => ({ port }),
        close(done?: () => void) {
          host.listeners.delete(port);
          own.after(0.05, () => done?.());
          return server;
        },
      });
    },
  }),
};

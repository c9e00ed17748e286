/**
 * A listening port for links. Each link is served by its own task. A link that sends no hello in time, or sends invalid
 * frames, is closed and counted; it never terminates the process.
 */
import { createServer } from 'node:net';
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Listen } from '../common/listen.js';
import type { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import { Overload } from '../overload/overload.js';
import type { Frame } from './frame.js';
import { Link } from './link.js';

/** A listening port for links. */
export type LinkServer = {
  readonly address: Address;
  /** The number of links that were rejected or closed for what they sent. */
  readonly refusedCount: () => number;
  readonly close: () => Promise<void>;
};

/** Options of a link server. */
export declare namespace LinkServer {
  type Hello = Extract<Frame, { kind: 'hello' }>;
  type Options = {
    readonly address: Address;
    readonly stamp: () => Stamp;
    readonly age: () => number;
    readonly verifiedAge?: () => number;
    readonly pingsWhenBusy?: boolean;
    /** Bounds on the links and on the bytes that they hold. */
    readonly overload?: Pick<Overload, 'linkMemory' | 'maxLinks'>;
    readonly serve: (link: Link, hello: Hello, frames: AsyncGenerator<Frame, void, void>) => Promise<void>;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

/** How long a new link may take to send its hello, in milliseconds. */
const helloTimeoutMs = 3000;
/** How long a link may receive nothing before it is closed, in milliseconds. */
const silenceTimeoutMs = 1200;
/** Interval of pings, in milliseconds: several fit into the silence that closes a link. */
const pingIntervalMs = 250;

/** Waits for the hello; only pings may precede it. */
const receiveHello = async (frames: AsyncGenerator<Frame, void, void>): Promise<LinkServer.Hello> => {
  for (;;) {
    const { value } = await frames.next();
    if (!value) throw Failure.of('link', 'the link was closed before its hello');
    if (value.kind === 'hello') return value;
    if (value.kind !== 'ping') throw Failure.of('frame', `received ${value.kind} before hello`);
  }
};

/** Serves links. */
export const LinkServer = {
  /** Serves one link until it ends; false when it sent no hello or an invalid frame. */
  async serveLink(
    link: Link,
    options: Pick<LinkServer.Options, 'age' | 'serve' | 'note'> & { readonly onHello?: () => void },
  ): Promise<boolean> {
    const helloTimer = Timer.after(helloTimeoutMs, () =>
      link.close(Failure.of('silence', 'no hello in time')),
    );
    const frames = link.frames();
    try {
      const hello = await receiveHello(frames);
      helloTimer.stop();
      options.onHello?.();
      if (hello.aim === 'core') link.send({ kind: 'ping', age: options.age() });
      await options.serve(link, hello, frames);
      return true;
    } catch (error) {
      options.note('link closed', { peer: link.peer, why: Failure.text(error) });
      return false;
    } finally {
      helloTimer.stop();
      link.close();
    }
  },
  /** Starts listening. */
  async open(options: LinkServer.Options): Promise<LinkServer> {
    const { linkMemory, maxLinks } = options.overload ?? Overload.of({});
    const links = new Set<Link>();
    let refusedLinks = 0;
    /** Links that have not said who they are, in the order in which they were opened. */
    const unknownLinks = new Set<Link>();
    const serveAndCount = async (link: Link) => {
      const onHello = () => void unknownLinks.delete(link);
      if (!(await LinkServer.serveLink(link, { ...options, onHello }))) refusedLinks += 1;
      unknownLinks.delete(link);
      links.delete(link);
    };
    /** Closes the oldest link that has not said who it is; false if there is none. */
    const closeOldestUnknown = (): boolean => {
      const [oldest] = unknownLinks;
      if (!oldest) return false;
      unknownLinks.delete(oldest);
      links.delete(oldest);
      oldest.close(Failure.of('link', 'closed in favour of a newer link'));
      return true;
    };
    const server = createServer((socket) => {
      if (links.size >= maxLinks && !closeOldestUnknown()) {
        refusedLinks += 1;
        socket.destroy();
        return;
      }
      const link = Link.fromSocket(socket, {
        stamp: options.stamp,
        age: options.age,
        ...(options.verifiedAge ? { verifiedAge: options.verifiedAge } : {}),
        pingEvery: pingIntervalMs,
        silence: silenceTimeoutMs,
        pingsWhenBusy: options.pingsWhenBusy ?? false,
        memory: linkMemory,
      });
      links.add(link);
      unknownLinks.add(link);
      void serveAndCount(link);
    });
    const address = await Listen(server, options.address);
    server.on('error', (error) => options.note('link server error', { why: Failure.text(error) }));
    return {
      address,
      refusedCount: () => refusedLinks,
      close: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          for (const link of links) link.close();
        }),
    };
  },
  /** The bound address, as `host:port`. */
  text: (server: LinkServer): string => Address.text(server.address),
};

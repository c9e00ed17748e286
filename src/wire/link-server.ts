// The doorway is a listening port for links. Each link gets one task; a link that does not say hello
// in time or sends what cannot be read is closed and counted, and never ends the process.
import { createServer } from 'node:net';
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Listen } from '../common/listen.js';
import type { Stamp } from '../common/stamp.js';
import { Timer } from '../common/timer.js';
import type { Frame } from './frame.js';
import { Link } from './link.js';

export type LinkServer = {
  readonly address: Address;
  readonly refusedCount: () => number;
  readonly close: () => Promise<void>;
};

export declare namespace LinkServer {
  type Hello = Extract<Frame, { kind: 'hello' }>;
  type Options = {
    readonly address: Address;
    readonly stamp: () => Stamp;
    readonly age: () => number;
    readonly pingsWhenBusy?: boolean;
    readonly serve: (link: Link, hello: Hello, frames: AsyncGenerator<Frame, void, void>) => Promise<void>;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const helloWithin = 3000;
const mostLinks = 1024;
const silence = 1200;
const pingEvery = 250;

const greet = async (frames: AsyncGenerator<Frame, void, void>): Promise<LinkServer.Hello> => {
  for (;;) {
    const { value } = await frames.next();
    if (!value) throw Failure.of('link', 'link ended before its hello');
    if (value.kind === 'hello') return value;
    if (value.kind !== 'ping') throw Failure.of('frame', `${value.kind} before hello`);
  }
};

export const LinkServer = {
  /** Serves one link until it ends; false when what it sent could not be read or it said no hello. */
  async attend(link: Link, needs: Pick<LinkServer.Options, 'age' | 'serve' | 'note'>): Promise<boolean> {
    const late = Timer.after(helloWithin, () => link.close(Failure.of('silence', 'no hello')));
    const frames = link.frames();
    try {
      const hello = await greet(frames);
      late.stop();
      if (hello.aim === 'core') link.send({ kind: 'ping', age: needs.age() });
      await needs.serve(link, hello, frames);
      return true;
    } catch (error) {
      needs.note('link closed', { peer: link.peer, why: Failure.text(error) });
      return false;
    } finally {
      late.stop();
      link.close();
    }
  },
  async open(needs: LinkServer.Options): Promise<LinkServer> {
    const links = new Set<Link>();
    let refused = 0;
    const attend = async (link: Link) => {
      if (!(await LinkServer.attend(link, needs))) refused += 1;
      links.delete(link);
    };
    const server = createServer((socket) => {
      if (links.size >= mostLinks) {
        refused += 1;
        socket.destroy();
        return;
      }
      const link = Link.fromSocket(socket, {
        stamp: needs.stamp,
        age: needs.age,
        pingEvery,
        silence,
        pingsWhenBusy: needs.pingsWhenBusy ?? false,
      });
      links.add(link);
      void attend(link);
    });
    const address = await Listen(server, needs.address);
    server.on('error', (error) => needs.note('doorway failure', { why: Failure.text(error) }));
    return {
      address,
      refusedCount: () => refused,
      close: () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          for (const link of links) link.close();
        }),
    };
  },
  text: (doorway: LinkServer): string => Address.text(doorway.address),
};

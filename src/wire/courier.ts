// A courier keeps one link to a peer open and carries requests over it, each answered by a reply of the
// same serial. When the link is down a request fails at once; whoever asks decides what that means. From the
// votes it carries it knows whose disk answers there, which may be another one than was there before.
import { Address } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import { Timer } from '../kinds/timer.js';
import type { Frame } from './frame.js';
import { Link } from './link.js';

type WithoutSerial<T> = T extends unknown ? Omit<T, 'serial'> : never;

export type Courier = {
  readonly ask: (request: WithoutSerial<Frame.Request>, within: number) => Promise<Frame.Reply>;
  readonly isUp: () => boolean;
  readonly downFor: () => number;
  readonly reaches: (core: Frame.Core) => boolean;
  readonly place: string;
  readonly stop: () => Promise<void>;
};

export declare namespace Courier {
  type Needs = {
    readonly place: string;
    readonly stamp: () => Frame['stamp'];
    readonly age: () => number;
    readonly hello: () => Extract<Frame.Body, { kind: 'hello' }>;
    readonly silence?: number;
  };
}

const isReply = (frame: Frame): frame is Frame & Frame.Reply =>
  frame.kind === 'vote' || frame.kind === 'appended' || frame.kind === 'done';

export const Courier = {
  run(needs: Courier.Needs): Courier {
    const stop = new AbortController();
    const waiting = new Map<number, (reply: Frame.Reply | Error) => void>();
    let serial = 0;
    let link: Link | undefined;
    let lastUp = Moment.now();
    let disk = '';

    const failAll = () => {
      const cause = Failure.of('link', `the link to ${needs.place} ended`);
      for (const settle of [...waiting.values()]) settle(cause);
    };
    const attend = async () => {
      const address = Address.parse(needs.place);
      if (!address) return;
      const made = await Link.open(
        address,
        { stamp: needs.stamp, age: needs.age, pingEvery: 250, silence: needs.silence ?? 1200 },
        stop.signal,
      );
      const onStop = () => made.close();
      stop.signal.addEventListener('abort', onStop, { once: true });
      try {
        made.send(needs.hello());
        for await (const frame of made.frames()) {
          lastUp = Moment.now();
          link = made;
          if (frame.kind === 'vote') disk = frame.core.disk;
          if (isReply(frame)) waiting.get(frame.serial)?.(frame);
        }
      } finally {
        stop.signal.removeEventListener('abort', onStop);
        link = undefined;
        failAll();
      }
    };
    const run = async () => {
      while (!stop.signal.aborted) {
        await attend().catch(() => undefined);
        await Timer.pause(100, stop.signal);
      }
    };
    const done = run();
    return {
      place: needs.place,
      isUp: () => link !== undefined,
      downFor: () => (link ? 0 : Moment.since(lastUp)),
      reaches: (core) => disk === '' || disk === core.disk,
      ask: (request, within) =>
        new Promise((resolve, reject) => {
          const mine = ++serial;
          const settle = (reply: Frame.Reply | Error) => {
            waiting.delete(mine);
            timer.stop();
            if (reply instanceof Error) reject(reply);
            else resolve(reply);
          };
          const timer = Timer.after(within, () =>
            settle(Failure.of('silence', `${needs.place} did not answer`)),
          );
          waiting.set(mine, settle);
          if (!link?.send({ ...request, serial: mine } as Frame.Request))
            settle(Failure.of('link', `no link to ${needs.place}`));
        }),
      async stop() {
        stop.abort();
        await done;
      },
    };
  },
};

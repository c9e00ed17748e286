/**
 * A series of crowds that do not behave, beside the other series of a soak: each presses one machine at one of its ports and stays
 * for a while. What the processes hold meanwhile is judged against the limits that their settings state.
 */
import type { Random } from '../random.js';
import type { PlatformFleet } from './fleet.js';
import { HostileCrowd } from './hostile-crowd.js';
import { ProcessUse } from './process-use.js';
import { Words } from './words.js';

/** The series in one soak. */
export type HostileSeries = {
  /** One crowd at a random machine; resolves once it has sent, and it stays on. */
  readonly press: () => Promise<void>;
  /** Looks at what the processes hold. */
  readonly watch: () => void;
  /** What went over the limits. */
  readonly breaches: () => readonly string[];
  readonly occasions: () => number;
  readonly leave: () => void;
};

export declare namespace HostileSeries {
  type Terms = {
    readonly host: string;
    /** A path that a route takes, and a key that a tenant holds now. */
    readonly path: string;
    readonly key: () => string;
    readonly wirePort: number;
    readonly limits: PlatformFleet.Limits;
  };
}

type Kind = (random: Random, address: string) => HostileCrowd.Terms;

const bodyBytes = 1024 * 1024;
const orderBytes = 16 * 1024 * 1024;
const frameBytes = 24 * 1024 * 1024;
const smallChunkBody = 128 * 1024;
/** Requests that a client sends without waiting for answers. */
const pipelined = 500;
/** Descriptors that the platform keeps for files. */
const fileDescriptors = 200;
/** How long a crowd stays after it has pressed, at most, in milliseconds. */
const maxStayMs = 8000;
const chunked = 'transfer-encoding: chunked';
const withLength = (bytes: number): string => `content-length: ${bytes}`;

let serial = 0;
const requestHead = (framing: string, path: string, { host, key }: HostileSeries.Terms): string => {
  serial += 1;
  const lines = [
    `POST ${path} HTTP/1.1`,
    `host: ${host}`,
    `${Words.key}: ${key()}`,
    `${Words.attempt}: hostile-${serial}`,
    framing,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
};
const orderHead = (framing: string): string =>
  `POST /configuration/replace HTTP/1.1\r\nhost: control\r\nbase-revision: 0\r\n${framing}\r\n\r\n`;

/** A kind of between `least` and twice that many clients, which all send the same. */
const kindOf =
  (least: number, pieces: HostileCrowd.Pieces): Kind =>
  (random, address) => ({ address, count: least + random.below(least), pieces });

const kindsFor = (terms: HostileSeries.Terms): Readonly<Record<string, readonly Kind[]>> => {
  const frames: Kind = (random, address) =>
    kindOf(4, () => HostileCrowd.frame(frameBytes))(random, `${address.split(':')[0]}:${terms.wirePort}`);
  const connections = kindOf(300, () => []);
  const head = (framing: string) => requestHead(framing, terms.path, terms);
  const unknown = () => requestHead(withLength(0), '/unknown', terms);
  return {
    front: [
      kindOf(35, () => HostileCrowd.largeChunks(head(chunked), bodyBytes)),
      kindOf(35, () => HostileCrowd.withLength(head(withLength(bodyBytes)), bodyBytes)),
      kindOf(6, () => HostileCrowd.smallChunks(head(chunked), smallChunkBody)),
      kindOf(15, () => Array.from({ length: pipelined }, unknown)),
      connections,
      frames,
    ],
    control: [
      kindOf(4, () => HostileCrowd.withLength(orderHead(withLength(orderBytes)), orderBytes)),
      kindOf(4, () => HostileCrowd.smallChunks(orderHead(chunked), smallChunkBody)),
      connections,
      frames,
    ],
  };
};

/** Creates series. */
export const HostileSeries = {
  of(
    { machines }: Pick<PlatformFleet, 'machines'>,
    random: Random,
    terms: HostileSeries.Terms,
  ): HostileSeries {
    const kinds = kindsFor(terms);
    const crowds = new Set<HostileCrowd>();
    const breaches = new Set<string>();
    let looks = 0;
    const { 'memory-mb': memoryMb, 'file-descriptors': descriptors } = terms.limits;
    const maxSockets = descriptors - fileDescriptors;
    const look = (name: string, { peakMemoryMb, descriptors: open }: ProcessUse) => {
      looks += 1;
      if (peakMemoryMb > memoryMb) breaches.add(`${name}: more than ${memoryMb} MB of memory`);
      if (open > maxSockets) breaches.add(`${name}: more than ${maxSockets} descriptors`);
    };
    return {
      async press() {
        const { role, address } = random.pick(machines);
        const crowd = HostileCrowd.of(random.pick(kinds[role]!)(random, address));
        crowds.add(crowd);
        await crowd.press();
        const leave = () => {
          crowds.delete(crowd);
          crowd.leave();
        };
        setTimeout(leave, random.below(maxStayMs)).unref();
      },
      watch() {
        for (const { name, process } of machines) {
          const use = ProcessUse.of(process().pid);
          if (use) look(name, use);
        }
      },
      breaches: () => [...breaches],
      occasions: () => looks,
      leave() {
        for (const crowd of crowds) crowd.leave();
      },
    };
  },
};

// A process that holds many hollow machines and does what the run tells it over the channel it was forked
// with. Copies of one view are kept once for the whole process, or hundreds of nodes would not fit into
// memory, and what was read or mended once is not again: a process that read a megabyte hundreds of times in a row
// would fall silent meanwhile, as no fleet does. The two real machines show what reading and mending cost a node.
import { createHash } from 'node:crypto';
import { Stamp } from '../../src/kinds/stamp.js';
import { View } from '../../src/manifest/view.js';
import { Copies } from '../../src/repair/copies.js';
import { Ranges } from '../../src/repair/ranges.js';
import { Frame } from '../../src/wire/frame.js';
import { Counts } from './counts.js';
import { Hollow } from './hollow.js';

export type Host = { readonly told: Host.Told; readonly tells: Host.Tells };

export declare namespace Host {
  type Told =
    | { readonly kind: 'start'; readonly machines: readonly Hollow.Machine[]; readonly terms: Host.Terms }
    | { readonly kind: 'stop'; readonly nodes: readonly string[] }
    | { readonly kind: 'expect'; readonly stamp: Stamp }
    | { readonly kind: 'hear'; readonly since: number; readonly roster: number }
    | { readonly kind: 'sample' }
    | { readonly kind: 'depths' };
  type Terms = Omit<Hollow.Terms, 'see'>;
  type Tells =
    | { readonly kind: 'done'; readonly serial: number; readonly at: number }
    | {
        readonly kind: 'sample';
        readonly serial: number;
        readonly sample: Counts.Sample;
        readonly oldest: number;
      }
    | { readonly kind: 'depths'; readonly serial: number; readonly depths: readonly number[] };
}

type Wait = { readonly serial: number; readonly isMet: (hollow: Hollow) => boolean; left: Set<string> };

const startAtOnce = 8;

const views = new Map<string, WeakRef<View>>();
const shared = (view: View): View => {
  const name = Stamp.text(view.stamp);
  const known = views.get(name)?.deref();
  if (known) return known;
  views.set(name, new WeakRef(view));
  return view;
};
const known = new Map<string, WeakRef<View>>();
const once = (key: string, make: () => View): View => {
  const made = known.get(key)?.deref() ?? shared(make());
  known.set(key, new WeakRef(made));
  return made;
};
const digestOf = (bytes: Uint8Array) => createHash('sha1').update(bytes).digest('hex');
const { decode } = View;
View.decode = (bytes) => once(digestOf(bytes), () => decode(bytes));
const { read } = Copies;
Copies.read = (news) =>
  news.compressed.length > 0 ? once(digestOf(news.compressed), () => read(news)) : read(news);
const { mend } = Ranges;
Ranges.mend = (held, patch, cut) => once(patch.seal, () => mend(held, patch, cut));

const counts = Counts.of();
const { encode: encodeFrame, decode: decodeFrame } = Frame;
Frame.encode = (stamp, body) => {
  const bytes = encodeFrame(stamp, body);
  counts.sent(body.kind, bytes.length);
  return bytes;
};
Frame.decode = (bytes) => {
  const frame = decodeFrame(bytes);
  counts.got(frame?.kind ?? 'unknown', bytes.length + 4);
  return frame;
};

const hollows = new Map<string, Hollow>();
let waits: Wait[] = [];

const tell = (message: Host.Tells) => void process.send?.(message);
const see = (node: string) => {
  const hollow = hollows.get(node);
  for (const wait of waits)
    if (wait.left.has(node) && hollow && wait.isMet(hollow)) {
      wait.left.delete(node);
      if (wait.left.size === 0) tell({ kind: 'done', serial: wait.serial, at: Counts.now() });
    }
  waits = waits.filter((wait) => wait.left.size > 0);
};
const expect = (serial: number, isMet: Wait['isMet']) => {
  const wait = { serial, isMet, left: new Set(hollows.keys()) };
  if (wait.left.size === 0) return tell({ kind: 'done', serial, at: 0 });
  waits.push(wait);
  for (const node of hollows.keys()) see(node);
};

const start = async (machines: readonly Hollow.Machine[], terms: Host.Terms) => {
  const left = [...machines];
  const work = async () => {
    for (let machine = left.shift(); machine; machine = left.shift()) {
      const { node } = machine;
      hollows.set(node, await Hollow.start(machine, { ...terms, see: () => see(node) }));
    }
  };
  await Promise.all(Array.from({ length: startAtOnce }, work));
};

const take = async (told: Host.Told & { readonly serial: number }) => {
  switch (told.kind) {
    case 'start':
      await start(told.machines, told.terms);
      return tell({ kind: 'done', serial: told.serial, at: Counts.now() });
    case 'stop': {
      const gone = told.nodes.flatMap((node) => hollows.get(node) ?? []);
      for (const node of told.nodes) hollows.delete(node);
      await Promise.all(gone.map((hollow) => hollow.stop()));
      return tell({ kind: 'done', serial: told.serial, at: Counts.now() });
    }
    case 'expect':
      return expect(told.serial, (hollow) => Stamp.compare(hollow.inForce(), told.stamp) >= 0);
    case 'hear':
      return expect(
        told.serial,
        (hollow) =>
          Counts.now() - hollow.age() > told.since && (told.roster === 0 || hollow.roster() === told.roster),
      );
    case 'depths': {
      const depths = await Promise.all([...hollows.values()].map((hollow) => hollow.depth()));
      return tell({ kind: 'depths', serial: told.serial, depths });
    }
    case 'sample': {
      const oldest = Math.max(0, ...[...hollows.values()].map((hollow) => hollow.age()));
      return tell({ kind: 'sample', serial: told.serial, sample: counts.sample(), oldest });
    }
  }
};

process.on('message', (told) => void take(told as Host.Told & { readonly serial: number }));
process.on('disconnect', () => process.exit(0));

// The system's own state and the changes that make it. A change carries the stamp it leads to; the
// same changes in the same order give the same state on every copy. A state is never changed: the next one shares
// with it all that stayed, so that a change costs the same however much is kept.
import { Epoch } from '../kinds/epoch.js';
import type { Ident } from '../kinds/ident.js';
import { Revision } from '../kinds/revision.js';
import { Stamp } from '../kinds/stamp.js';
import type { Document } from '../manifest/document.js';
import type { View } from '../manifest/view.js';
import { DocumentText } from './document-text.js';
import { EncodedChange } from './encoded-change.js';
import { Manifests } from './manifests.js';
import { Orders } from './orders.js';

/** All that the control side keeps, as of one stamp. */
export type State = Orders & {
  readonly stamp: Stamp;
  readonly formed: Epoch;
  readonly manifests: readonly State.Manifest[];
  readonly platform: View.Platform;
  readonly audit: readonly State.Audit[];
};

export declare namespace State {
  /** A kept manifest and the change that brought it. */
  type Manifest = {
    readonly revision: Revision;
    readonly epoch: Epoch;
    readonly document: Document;
    readonly by: string;
    readonly at: string;
    /** Of its document as JSON, without its source. */
    readonly length?: number;
  };
  /** A state as an earlier version wrote it. */
  type Earlier = Omit<State, 'numbers' | 'horizon'> & Partial<Pick<State, 'numbers' | 'horizon'>>;
  /** Who changed what, as operators read it. */
  type Audit = {
    readonly revision: Revision;
    readonly by: string;
    readonly at: string;
    readonly what: string;
    readonly teams: readonly string[];
  };
  /** A change, and the stamp of the state that it leads to. */
  type Change = { readonly stamp: Stamp } & (
    | { readonly kind: 'whole'; readonly state: State.Earlier }
    | {
        readonly kind: 'manifest';
        readonly document: Document;
        readonly by: string;
        readonly at: string;
        readonly what: string;
        readonly teams: readonly string[];
        readonly answer?: { readonly key: string; readonly digest: string };
        /** Taken after a forming and before the nodes were asked: earlier orders may be unknown. */
        readonly isUnsettled?: true;
      }
    | {
        readonly kind: 'platform';
        readonly serial: number;
        readonly servers: readonly Document.Server[];
        readonly at: string;
      }
    | {
        readonly kind: 'evacuations';
        readonly zones: readonly Ident.Zone[];
        readonly by: string;
        readonly at: string;
        readonly what: string;
      }
    | { readonly kind: 'leaving'; readonly instance: string; readonly at: string }
    | { readonly kind: 'opened' }
    | {
        readonly kind: 'settled';
        readonly formed: Epoch;
        readonly view: View;
        /** Set where the cores form for the first time: nothing can have been taken before. */
        readonly isFirstStart?: true;
      }
  );
}

const keptAudit = 1024;

type Kind = State.Change['kind'];
type Of<K extends Kind> = Extract<State.Change, { kind: K }>;
type Part = { readonly epoch: Epoch; readonly revision: Revision };

const isNewer = (offered: Part, held: Part | undefined): boolean =>
  held === undefined || Stamp.isNewer(offered, held);

const empty: State = {
  ...Orders.empty,
  stamp: Stamp.none,
  formed: Epoch.none,
  manifests: [],
  platform: { revision: Revision.none, epoch: Epoch.none, serial: 0, servers: [], leaving: [] },
  audit: [],
};

const withAudit = (state: State, entry: Omit<State.Audit, 'teams'> & Partial<State.Audit>): State => ({
  ...state,
  audit: [...state.audit.slice(-keptAudit + 1), { ...entry, teams: entry.teams ?? [] }],
});

const withManifest = (state: State, manifest: State.Manifest): State => ({
  ...state,
  manifests: Manifests.add(state.manifests, manifest),
});

const newestOf = (manifests: Manifests): Orders.Newest | undefined => {
  const newest = manifests.at(-1);
  return newest && { number: newest.document.source?.number, revision: newest.revision };
};

const withSource = (state: State, document: Document | undefined): State =>
  document?.source
    ? { ...state, ...Orders.withNumber(state, document.source.number, document.source.digest) }
    : state;

const withGaps = (state: State): State => ({
  ...state,
  ...Orders.withGaps(state, newestOf(state.manifests)),
});

/** A manifest under a number is known by that; others are known by their keys. */
const withOrder = (state: State, { document, answer, stamp }: Of<'manifest'>): State => {
  const recorded = withSource(state, document);
  const isNumbered = answer?.key === `number ${document.source?.number}`;
  if (!answer || isNumbered) return recorded;
  return { ...recorded, ...Orders.withAnswer(recorded, { ...answer, revision: stamp.revision }) };
};

const putManifest = (state: State, change: Of<'manifest'>): State => {
  const { document, by, at, what, teams, stamp } = change;
  const manifest = { ...stamp, document, by, at, length: DocumentText.measure(document) };
  const put = withOrder(withManifest(state, manifest), change);
  const known = change.isUnsettled && state.formed !== Epoch.none ? withGaps(put) : put;
  return withAudit(known, { revision: stamp.revision, by, at, what, teams });
};

const evacuate = (state: State, { zones, by, at, what, stamp }: Of<'evacuations'>): State => {
  const newest = state.manifests.at(-1);
  if (!newest) return state;
  const document = { ...newest.document, evacuations: zones };
  EncodedChange.follow(document, newest.document);
  const evacuated = withManifest(state, { ...newest, ...stamp, document, by, at });
  return withAudit(evacuated, { revision: stamp.revision, by, at, what });
};

const replaceList = (state: State, { serial, servers, at, stamp }: Of<'platform'>): State => {
  const held = new Set<string>(servers.map((server) => server.instance));
  const leaving = state.platform.leaving.filter((instance) => held.has(instance));
  const listed = { ...state, platform: { ...stamp, serial, servers, leaving } };
  return withAudit(listed, { revision: stamp.revision, by: 'platform', at, what: 'server list' });
};

const leave = (state: State, { instance, at, stamp }: Of<'leaving'>): State => {
  const { platform } = state;
  const leaving = platform.leaving.includes(instance) ? platform.leaving : [...platform.leaving, instance];
  const left = { ...state, platform: { ...platform, ...stamp, leaving } };
  return withAudit(left, { revision: stamp.revision, by: 'platform', at, what: `leaving ${instance}` });
};

/** The cores formed anew: what nodes hold is taken where it is newer, and orders may be missing from the record. */
const settle = (state: State, { formed, view, stamp, ...more }: Of<'settled'>): State => {
  const { manifest, platform } = view;
  const held = state.manifests.at(-1);
  const isPut = (held?.epoch ?? 0) > formed;
  const isListed = state.platform.epoch > formed;
  let settled: State = { ...state, formed };
  if (manifest && !isPut && isNewer(manifest, held))
    settled = withManifest(settled, { ...stamp, document: manifest.document, by: 'settled', at: '' });
  if (!isListed && isNewer(platform, state.platform))
    settled = { ...settled, platform: { ...platform, ...stamp } };
  // Blank cores that find no manifest at any node are at their first start as well: no order can be missing.
  const isFirstStart = state.formed === Epoch.none && (!manifest || more.isFirstStart === true);
  if (!isFirstStart) settled = withGaps(withSource(settled, manifest?.document));
  const what = 'the cores formed anew';
  return withAudit(settled, { revision: stamp.revision, by: 'settled', at: '', what });
};

/** A state of any version in the present form; the newest manifests may tell of orders that no record names. */
const upgrade = (held: State.Earlier): State => {
  const state = { ...held, ...Orders.upgrade(held, newestOf(held.manifests)) };
  return held.manifests.slice(-2).reduce((known, { document }) => withSource(known, document), state);
};

const change = (state: State, made: State.Change): State => {
  switch (made.kind) {
    case 'whole':
      return upgrade(made.state);
    case 'manifest':
      return putManifest(state, made);
    case 'evacuations':
      return evacuate(state, made);
    case 'platform':
      return replaceList(state, made);
    case 'leaving':
      return leave(state, made);
    case 'settled':
      return settle(state, made);
    case 'opened':
      return state;
  }
};

export const State = {
  empty,
  /** The state after a change; the one before stays as it is. */
  apply(state: State, made: State.Change): State {
    const next = change(state, made);
    return made.kind === 'whole' ? next : { ...next, stamp: made.stamp };
  },
  /** Whether the state is as of the newest forming: the nodes were asked, or a manifest was put since. */
  isSettled: (state: State, formed: Epoch): boolean =>
    state.formed === formed || (state.manifests.at(-1)?.epoch ?? 0) > formed,
  /** The manifest in force. */
  newest: (state: State): State.Manifest | undefined => state.manifests.at(-1),
  /** What nodes are told of the state. */
  view: (state: State): View => {
    const manifest = state.manifests.at(-1);
    return {
      stamp: state.stamp,
      manifest: manifest
        ? { revision: manifest.revision, epoch: manifest.epoch, document: manifest.document }
        : null,
      platform: state.platform,
    };
  },
};

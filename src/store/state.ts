/**
 * The replicated state and the changes that produce it. A change carries the stamp of the state that it leads to; the
 * same changes in the same order give the same state on every copy. States are immutable: the next one shares all
 * unchanged parts with the one before, so the cost of a change does not grow with the amount that is kept.
 */
import { Epoch } from '../common/epoch.js';
import type { Id } from '../common/id.js';
import { Revision } from '../common/revision.js';
import { Stamp } from '../common/stamp.js';
import type { Document } from '../manifest/document.js';
import type { View } from '../manifest/view.js';
import { DocumentText } from './document-text.js';
import { EncodedChange } from './encoded-change.js';
import { Manifests } from './manifests.js';
import { Orders } from './orders.js';

/** Everything that the cores keep, as of one stamp. */
export type State = Orders & {
  readonly stamp: Stamp;
  readonly formed: Epoch;
  readonly manifests: readonly State.Manifest[];
  readonly platform: View.Platform;
  readonly audit: readonly State.Audit[];
};

export declare namespace State {
  /** A kept manifest, with who put it and when. */
  type Manifest = {
    readonly revision: Revision;
    readonly epoch: Epoch;
    readonly document: Document;
    readonly by: string;
    readonly at: string;
    /** The length of the document as JSON without its source, in characters. */
    readonly length?: number;
  };
  /** A state as any version may have written it. */
  type Stored = Omit<State, 'numbers' | 'horizon'> & Partial<Pick<State, 'numbers' | 'horizon'>>;
  /** An entry of the audit log that operators read. */
  type Audit = {
    readonly revision: Revision;
    readonly by: string;
    readonly at: string;
    readonly what: string;
    readonly teams: readonly string[];
  };
  /** A change, with the stamp of the state that it leads to. */
  type Change = { readonly stamp: Stamp } & (
    | { readonly kind: 'whole'; readonly state: State.Stored }
    | {
        readonly kind: 'manifest';
        readonly document: Document;
        readonly by: string;
        readonly at: string;
        readonly what: string;
        readonly teams: readonly string[];
        readonly answer?: { readonly key: string; readonly digest: string };
        /** Set for a change after a forming and before the nodes were asked: earlier orders may be unknown. */
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
        readonly zones: readonly Id.Zone[];
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
        /** Set if the cores form for the first time: no order can have been taken before. */
        readonly isFirstStart?: true;
      }
  );
}

const maxAuditEntries = 1024;

type Kind = State.Change['kind'];
type ChangeOf<K extends Kind> = Extract<State.Change, { kind: K }>;
type Position = { readonly epoch: Epoch; readonly revision: Revision };

const isNewer = (offered: Position, held: Position | undefined): boolean =>
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
  audit: [...state.audit.slice(-maxAuditEntries + 1), { ...entry, teams: entry.teams ?? [] }],
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

/** Records the order of a manifest: by its number if it has one, otherwise by its key. */
const recordOrder = (state: State, { document, answer, stamp }: ChangeOf<'manifest'>): State => {
  const recorded = withSource(state, document);
  const isNumbered = answer?.key === `number ${document.source?.number}`;
  if (!answer || isNumbered) return recorded;
  return { ...recorded, ...Orders.withAnswer(recorded, { ...answer, revision: stamp.revision }) };
};

const putManifest = (state: State, change: ChangeOf<'manifest'>): State => {
  const { document, by, at, what, teams, stamp } = change;
  const manifest = { ...stamp, document, by, at, length: DocumentText.measure(document) };
  const recorded = recordOrder(withManifest(state, manifest), change);
  const next = change.isUnsettled && state.formed !== Epoch.none ? withGaps(recorded) : recorded;
  return withAudit(next, { revision: stamp.revision, by, at, what, teams });
};

const evacuate = (state: State, { zones, by, at, what, stamp }: ChangeOf<'evacuations'>): State => {
  const newest = state.manifests.at(-1);
  if (!newest) return state;
  const document = { ...newest.document, evacuations: zones };
  EncodedChange.copyOrigin(document, newest.document);
  const evacuated = withManifest(state, { ...newest, ...stamp, document, by, at });
  return withAudit(evacuated, { revision: stamp.revision, by, at, what });
};

const replaceServers = (state: State, { serial, servers, at, stamp }: ChangeOf<'platform'>): State => {
  const listedInstances = new Set<string>(servers.map((server) => server.instance));
  const leaving = state.platform.leaving.filter((instance) => listedInstances.has(instance));
  const listed = { ...state, platform: { ...stamp, serial, servers, leaving } };
  return withAudit(listed, { revision: stamp.revision, by: 'platform', at, what: 'server list' });
};

const markLeaving = (state: State, { instance, at, stamp }: ChangeOf<'leaving'>): State => {
  const { platform } = state;
  const leaving = platform.leaving.includes(instance) ? platform.leaving : [...platform.leaving, instance];
  const left = { ...state, platform: { ...platform, ...stamp, leaving } };
  return withAudit(left, { revision: stamp.revision, by: 'platform', at, what: `leaving ${instance}` });
};

/** After a new forming: takes what nodes hold where it is newer; orders may be missing from the record. */
const settle = (state: State, { formed, view, stamp, ...more }: ChangeOf<'settled'>): State => {
  const { manifest, platform } = view;
  const held = state.manifests.at(-1);
  const hasNewManifest = (held?.epoch ?? 0) > formed;
  const hasNewServers = state.platform.epoch > formed;
  let settled: State = { ...state, formed };
  if (manifest && !hasNewManifest && isNewer(manifest, held))
    settled = withManifest(settled, { ...stamp, document: manifest.document, by: 'settled', at: '' });
  if (!hasNewServers && isNewer(platform, state.platform))
    settled = { ...settled, platform: { ...platform, ...stamp } };
  // Blank cores that find no manifest on any node are starting for the first time too, so no order can be missing.
  const isFirstStart = state.formed === Epoch.none && (!manifest || more.isFirstStart === true);
  if (!isFirstStart) settled = withGaps(withSource(settled, manifest?.document));
  const what = 'the cores formed anew';
  return withAudit(settled, { revision: stamp.revision, by: 'settled', at: '', what });
};

/** Converts a state of any version to the present form; its newest manifests may name orders not yet recorded. */
const upgrade = (stored: State.Stored): State => {
  const state = { ...stored, ...Orders.upgrade(stored, newestOf(stored.manifests)) };
  return stored.manifests.slice(-2).reduce((next, { document }) => withSource(next, document), state);
};

const applyChange = (state: State, change: State.Change): State => {
  switch (change.kind) {
    case 'whole':
      return upgrade(change.state);
    case 'manifest':
      return putManifest(state, change);
    case 'evacuations':
      return evacuate(state, change);
    case 'platform':
      return replaceServers(state, change);
    case 'leaving':
      return markLeaving(state, change);
    case 'settled':
      return settle(state, change);
    case 'opened':
      return state;
  }
};

/** Applies changes and reads states. */
export const State = {
  empty,
  /** The state after a change; the given state is not modified. */
  apply(state: State, change: State.Change): State {
    const next = applyChange(state, change);
    return change.kind === 'whole' ? next : { ...next, stamp: change.stamp };
  },
  /** Whether the state is up to date with a forming: the nodes were asked, or a manifest was put since then. */
  isSettled: (state: State, formed: Epoch): boolean =>
    state.formed === formed || (state.manifests.at(-1)?.epoch ?? 0) > formed,
  /** The manifest in force. */
  newest: (state: State): State.Manifest | undefined => state.manifests.at(-1),
  /** The part of the state that nodes receive. */
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

/** The members of the fleet, and the revision that is in force at each of them. */

import { Stamp } from '../../common/stamp.js';
import { Term } from '../../epoch/term.js';
import type { Document } from '../../manifest/document.js';
import type { MemberTable } from '../../membership/member-table.js';
import type { Primary } from '../../replica/primary.js';
import type { Frame } from '../../wire/frame.js';
import type { Core } from '../core.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

/** What the status is read from, beside the stored state. */
export type ReadStatus = { readonly roll: MemberTable; readonly core: Core };

const describeNode = ({ node, program, zone, stamp, http, wire, ops, via, age, ready }: Frame.Entry) => ({
  node,
  program,
  zone,
  stamp,
  http,
  wire,
  ops,
  via,
  ready,
  age: Math.round(age),
});

/** How far replication to each other core has come. `behind` counts changes; it is null until the core has reported. */
const describeCores = (primary: Primary | undefined) =>
  primary?.members().map(({ core, held, isCurrent, transfer, downFor }) => {
    const { stamp } = primary.state();
    const isBehind = held !== undefined && Stamp.isNewer(stamp, held);
    return {
      node: core.node,
      in_sync: Term.isInSync(primary.term(), core.disk),
      current: isCurrent,
      held: held ?? null,
      behind: held === undefined ? null : isBehind ? Math.max(1, stamp.revision - held.revision) : 0,
      transfer: transfer ?? null,
      silent_ms: Number.isFinite(downFor) ? Math.round(downFor) : null,
    };
  }) ?? [];

/** How each group isolates tenants, without the secret of the walls. */
const describeWalls = ({ walls, groups, rules }: Document) =>
  walls && {
    generation: walls.generation,
    owners: walls.owners ?? {},
    groups: Object.fromEntries(
      Object.entries(groups).map(([name, { wall, kind }]) => [
        name,
        wall ?? (kind === 'plain' ? 'keeps no prompts' : 'refused'),
      ]),
    ),
    shared: rules.filter((rule) => rule.wall === 'shared').map((rule) => rule.name),
  };

/** The queries for members and status. */
export const ReadStatus = {
  /** The members known to the primary. An isolated core knows only a few and answers 503 instead. */
  async nodes(gateway: PrimaryGateway, { roll }: ReadStatus): Promise<Responses> {
    await gateway.confirm();
    return { status: 200, body: { nodes: roll.all().map(describeNode) } };
  },
  /** The state of the cores, the manifest and the proxies. */
  async run(gateway: PrimaryGateway, { roll, core }: ReadStatus): Promise<Responses> {
    const state = await gateway.confirm();
    const proxies = roll.all().filter((entry) => entry.program === 'proxy');
    const behind = proxies.filter((entry) => Stamp.isNewer(state.stamp, entry.stamp));
    const term = core.term();
    const document = state.manifests.at(-1)?.document;
    return {
      status: 200,
      body: {
        stamp: state.stamp,
        manifest: state.manifests.at(-1)?.revision ?? 0,
        walls: document ? describeWalls(document) : undefined,
        platform: { serial: state.platform.serial, revision: state.platform.revision },
        tenure: term,
        everywhere: behind.length === 0,
        cores: describeCores(core.leading()),
        behind: behind.map((entry) => entry.node),
        proxies: proxies.map(({ node, zone, stamp, ready }) => ({ node, zone, stamp, ready })),
      },
    };
  },
};

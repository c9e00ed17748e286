// Which nodes are members, and which revision is in force at each.

import { Stamp } from '../../common/stamp.js';
import { Term } from '../../epoch/term.js';
import type { Document } from '../../manifest/document.js';
import type { Roll } from '../../membership/roll.js';
import type { Primary } from '../../replica/primary.js';
import type { Frame } from '../../wire/frame.js';
import type { Core } from '../core.js';
import type { PrimaryGateway } from '../primary-gateway.js';
import type { Responses } from '../responses.js';

export type ReadStatus = { readonly roll: Roll; readonly core: Core };

const describe = ({ node, program, zone, stamp, http, wire, ops, via, age, ready }: Frame.Entry) => ({
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

/** How far each other core has followed; `behind` counts changes, and is null while the core has not told. */
const describeCores = (primary: Primary | undefined) =>
  primary?.members().map(({ core, held, isCurrent, transfer, downFor }) => {
    const { stamp } = primary.state();
    const isBefore = held !== undefined && Stamp.isNewer(stamp, held);
    return {
      node: core.node,
      in_sync: Term.isInSync(primary.term(), core.disk),
      current: isCurrent,
      held: held ?? null,
      behind: held === undefined ? null : isBefore ? Math.max(1, stamp.revision - held.revision) : 0,
      transfer: transfer ?? null,
      silent_ms: Number.isFinite(downFor) ? Math.round(downFor) : null,
    };
  }) ?? [];

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

export const ReadStatus = {
  /** The members as the primary knows them: a core that is cut off knows few, and says so with a 503. */
  async nodes(office: PrimaryGateway, { roll }: ReadStatus): Promise<Responses> {
    await office.confirm();
    return { status: 200, body: { nodes: roll.all().map(describe) } };
  },
  async run(office: PrimaryGateway, { roll, core }: ReadStatus): Promise<Responses> {
    const state = await office.confirm();
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

/** The agents that a core names to a child besides the cores, so that the child has others to turn to in a cut. */
import type { MemberTable } from '../membership/member-table.js';
import { ParentCandidates } from '../membership/parent-candidates.js';
import type { Frame } from '../wire/frame.js';

/** Picks agents for a child. */
export type NearbyAgents = (child: Frame.Entry) => readonly string[];

const maxAgents = 6;
const maxInSameZone = 2;

/** Creates a picker that starts at another agent for each child. */
export const NearbyAgents = {
  of:
    (roll: MemberTable): NearbyAgents =>
    (child) => {
      const agents = roll.all().filter((one) => one.program === 'agent' && one.node !== child.node);
      const inOtherZones = agents.filter((one) => one.zone !== child.zone);
      const inSameZone = agents.filter((one) => one.zone === child.zone);
      const start = ParentCandidates.hash(child.node) % Math.max(1, inOtherZones.length);
      return [
        ...inSameZone.slice(0, maxInSameZone),
        ...inOtherZones.slice(start),
        ...inOtherZones.slice(0, start),
      ]
        .slice(0, maxAgents)
        .map((one) => one.wire);
    },
};

/**
 * The links to the children of this node. A frame for a node further down is sent to the child through which the member
 * table learned of that node.
 */
import type { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import type { MemberTable } from './member-table.js';

/** The links to the children of this node, by node name. */
export type Children = {
  readonly add: (node: string, link: Link) => void;
  readonly remove: (node: string, link: Link) => void;
  /** Sends to all children, or to those that `isFor` selects. */
  readonly broadcast: (body: Frame.Body, isFor?: (node: string) => boolean) => void;
  /** Sends to a node below this one; false when there is no open link towards it. */
  readonly send: (node: string, body: Frame.Body) => boolean;
  readonly count: () => number;
};

/** Creates an empty set of links; `members` tells through which child a node is reached. */
export const Children = {
  of(members: MemberTable): Children {
    const links = new Map<string, Link>();
    return {
      add: (node, link) => void links.set(node, link),
      remove(node, link) {
        if (links.get(node) === link) links.delete(node);
      },
      count: () => links.size,
      broadcast(body, isFor = () => true) {
        for (const [node, link] of links) if (isFor(node)) link.send(body);
      },
      send(node, body) {
        const link = links.get(node) ?? links.get(members.get(node)?.via ?? '');
        return link?.send(body) ?? false;
      },
    };
  },
};

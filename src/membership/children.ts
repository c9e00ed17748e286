// The links to this node's children, by name. A frame for a node further down goes to the child that the
// roll says it was told through.
import type { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import type { MemberTable } from './member-table.js';

export type Children = {
  readonly add: (node: string, link: Link) => void;
  readonly remove: (node: string, link: Link) => void;
  readonly broadcast: (body: Frame.Body, isFor?: (node: string) => boolean) => void;
  readonly send: (node: string, body: Frame.Body) => boolean;
  readonly count: () => number;
};

export const Children = {
  of(roll: MemberTable): Children {
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
        const link = links.get(node) ?? links.get(roll.get(node)?.via ?? '');
        return link?.send(body) ?? false;
      },
    };
  },
};

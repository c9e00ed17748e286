/** Named policies, as replacements in the sources that only the scripts of experiments get. */
import type { Bundle } from '../simulation/bundle.js';

const placement = 'src/upstream/placement.ts';

type Changes = readonly Bundle.Change[];

const change = (file: string, from: string, to: string): Bundle.Change => ({ file, from, to });

const policies: Readonly<Record<string, Changes>> = {
  'as it is': [],
  'no reports': [change(placement, 'hear(told) {', 'hear(told) { if (told.length >= 0) return;')],
  'no agreed holder': [
    change(placement, 'isHolder && isSettled(instance)', 'isHolder && !isSettled(instance) && false'),
  ],
};

/** The policies by name. */
export const Policy = {
  all: policies,
  changes(name: string): Changes {
    const found = policies[name];
    if (!found) throw new Error(`no policy is called ${name}; there are ${Object.keys(policies).join(', ')}`);
    return found;
  },
};

/** Named policies, as replacements in the sources that only the scripts of experiments get; most leave one mechanism out. */
import type { Bundle } from '../simulation/bundle.js';

type Changes = readonly Bundle.Change[];

const change = (file: string, from: string, to: string): Bundle.Change => ({
  file: `src/upstream/${file}.ts`,
  from,
  to,
});

const policies: Readonly<Record<string, Changes>> = {
  'as it is': [],
  'an oracle of what is unread': [
    change(
      'placement',
      'const waitMs = Math.max(level.prefill / speed, queuedMs);',
      'const waitMs = Math.max(level.prefill, (needs as any).unread(instance)) / speed;',
    ),
  ],
  'no reports': [
    change('placement', 'updateLoads(reports) {', 'updateLoads(reports) { if (reports.length >= 0) return;'),
  ],
  'no agreed holder': [change('placement', 'isHolder && isSettled(instance)', 'false')],
  'no memory of what was sent': [change('placement', 'known?.has(key) === true ||', 'false ||')],
  'no cost of another zone': [
    change('placement', 'const toZone = costOf(crossZoneCost);', 'const toZone = 0;'),
  ],
  'no cost of a connection': [
    change('placement', 'const newConnectionCostMs = 12;', 'const newConnectionCostMs = 0;'),
  ],
  'no charge for lateness': [change('placement', 'late: 2 }', 'late: 0 }')],
  'no cost of jobs here': [
    change('placement', 'const requestInFlightCostMs = 2;', 'const requestInFlightCostMs = 0;'),
  ],
  'no cost of disturbing': [
    change('placement', 'const decodeDelayFactor = 0.12;', 'const decodeDelayFactor = 0;'),
  ],
  'no pace of servers': [change('prefill-speed', 'slowdownOf,\n', 'slowdownOf: () => 1,\n')],
  'no sums of failures': [
    change('failure-scores', 'if (scores.size === 0) return noCosts;', 'return noCosts;'),
  ],
  'no ejection': [change('ejector', 'health.failures += 1;', 'return;')],
  'no bound for warming servers': [change('warmup', 'if (!group.warmup ||', 'if (group.warmup ||')],
  'no extra tries': [
    change('budget', "if (account.tokens.takeToken()) return 'token';", 'if (account) return undefined;'),
    // Who waits for a token would else be told at once that there is one, and ask again without an end.
    change('group-budget', 'tokens.total() >= oneToken;', 'false;'),
    change(
      'budget',
      'held: (group) => (accounts.get(group)?.tokens.held() ?? 0) / oneToken',
      'held: () => 0',
    ),
  ],
  'pending requests wait for a dark server': [
    change('health-checker', 'watchers.notify(server.instance);', ''),
  ],
  'no word of dark servers': [
    change(
      'health-checker',
      'reportUnreachable(instance) {',
      'reportUnreachable(instance) { if (instance) return;',
    ),
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

// Defects to plant in copies of the built programs, at least one for each thing that must never happen, with
// the judge that must find it and the breakers that give it the occasion.
import { WallPlants } from './wall-plants.js';

export type Plants = {
  readonly name: string;
  readonly file: string;
  readonly from: string;
  readonly to: string;
  readonly also?: { readonly file: string; readonly from: string; readonly to: string };
  readonly judge: string;
  readonly only: readonly string[];
  readonly deployment: 'baobab' | 'likhet';
  readonly seconds: number;
  readonly atOnce: number;
  readonly final: 'off' | 'wiped' | 'kept' | 'alive';
};

const common = { deployment: 'baobab', seconds: 15, atOnce: 3, final: 'off' } as const;

export const Plants: readonly Plants[] = [
  {
    ...common,
    name: 'once requests are tried again after they may have run',
    file: 'src/upstream/tries.js',
    from: 'if (rule.isOnce && mayHaveRun)',
    to: 'if (false)',
    judge: 'runsOnce',
    only: ['serverResets', 'groupResets'],
  },
  {
    ...common,
    name: 'a stream that broke is begun again on another server',
    file: 'src/proxy/stream-response.js',
    from: 'ClientConnection.of(incoming.socket).abort();',
    to: 'if (result === \'server\' && !outgoing.destroyed) { this.chunks.end(Buffer.from(\'data: {"choices":[{"delta":{"content":"other:0 "}}]}\\n\\n\'), () => {}); return \'done\'; } ClientConnection.of(incoming.socket).abort();',
    judge: 'streamsWhole',
    only: ['serverCuts', 'serverKilled'],
  },
  {
    ...common,
    name: 'a request that may have run is answered as not run',
    file: 'src/upstream/tries.js',
    from: 'const status = !mayHaveRun ? 503',
    to: 'const status = true ? 503',
    judge: 'notRunIsFinal',
    only: ['serverResets', 'groupResets'],
  },
  {
    ...common,
    name: 'tokens are not asked for',
    file: 'src/upstream/tries.js',
    from: 'if (sent > 0 && !payment)',
    to: 'if (false)',
    judge: 'extraTriesFew',
    only: ['groupFails', 'groupResets'],
  },
  {
    ...common,
    name: 'each node has a floor of tokens of its own',
    file: 'src/upstream/budget.js',
    from: 'if (account.tokens.takeToken())',
    to: 'if (account.tokens.takeToken() || Math.random() < 0.5)',
    judge: 'extraTriesFew',
    only: ['groupFails', 'groupResets'],
  },
  {
    ...common,
    name: 'spill leaves the home',
    file: 'src/upstream/candidate.js',
    from: 'rule.spill.filter((one) => others.includes(one))',
    to: 'rule.spill',
    also: {
      file: 'src/proxy/filters/attempt.js',
      from: 'regions.includes(newest.region)',
      to: 'true',
    },
    judge: 'homesKept',
    only: ['serversDark', 'regionKilled'],
    deployment: 'likhet',
    seconds: 20,
  },
  {
    ...common,
    name: 'identities are not proved',
    file: 'src/upstream/identity.js',
    from: 'const { service, instance } = group.identity;',
    to: 'const { service, instance } = group.identity; return;',
    judge: 'strangersGetNothing',
    only: ['addressOfStranger', 'addressOfSibling'],
  },
  {
    ...common,
    name: 'only the service is proved, not the instance',
    file: 'src/upstream/identity.js',
    from: 'if (found !== server.instance)',
    to: 'if (false)',
    judge: 'strangersGetNothing',
    only: ['addressOfSibling'],
  },
  {
    ...common,
    name: 'notices of leaving are ignored',
    file: 'src/manifest/compiled.js',
    from: '!leaving.has(server.instance) && ',
    to: '',
    judge: 'leavingGetsNothing',
    only: ['agentKilled'],
  },
  {
    ...common,
    name: 'evacuations are ignored',
    file: 'src/manifest/compiled.js',
    from: ' && !evacuated.has(server.zone)',
    to: '',
    judge: 'evacuatedGetsNothing',
    only: ['agentKilled'],
    seconds: 25,
  },
  {
    ...common,
    name: 'news is put in force late',
    file: 'src/news/feed.js',
    from: 'for (const listener of [...listeners])',
    to: 'for (const listener of [...listeners].map((one) => (next) => setTimeout(one, 4000, next)))',
    judge: 'inForceInTime',
    only: ['agentKilled', 'coreKilled'],
  },
  {
    ...common,
    name: 'a node that starts empty serves under whatever it is handed',
    file: 'src/news/view-confirmation.js',
    from: "if (phase.is('vouched') || !feed.view().manifest)\n                return;",
    to: "if (phase.is('vouched') || !feed.view().manifest) return; return phase.transitionTo('vouched');",
    judge: 'noDriftBack',
    only: ['frontBesideStale'],
    seconds: 22,
  },
  {
    ...common,
    name: 'If-Match is ignored',
    file: 'src/control/commands/put-manifest.js',
    from: 'current !== put.ifMatch &&',
    to: 'false &&',
    judge: 'oneOfARace',
    only: ['agentKilled'],
  },
  {
    ...common,
    name: 'manifests are not checked for names',
    file: 'src/manifest/check.js',
    from: 'return findings.length > 0 ? { kind:',
    to: 'return false ? { kind:',
    judge: 'invalidNeverTaken',
    only: ['agentKilled'],
    seconds: 25,
  },
  {
    ...common,
    name: 'the primary acknowledges before its backup has synced',
    file: 'src/replica/acknowledgement.js',
    from: 'await Promise.all([local, replication.replicate(next)]);',
    to: 'await local; void replication.replicate(next);',
    judge: 'newestIsRead',
    only: ['coresSplit', 'coreFrozen', 'coreKilledAtAck', 'coreCut'],
    seconds: 30,
  },
  {
    ...common,
    name: 'reads are not confirmed by a majority',
    file: 'src/control/primary-gateway.js',
    from: 'const isConfirmed = await primary.confirm();',
    to: 'const isConfirmed = true;',
    judge: 'newestIsRead',
    only: ['primaryCut'],
    atOnce: 1,
    seconds: 30,
  },
  {
    ...common,
    name: 'servers that come back are not fed gently',
    file: 'src/upstream/slow-start.js',
    from: 'const from = began.get(instance);',
    to: 'const from = undefined;',
    judge: 'coldFedGently',
    only: ['serverKilled', 'swingToAnswers', 'crowdAtAll'],
    seconds: 25,
  },
  {
    ...common,
    name: 'cores that formed anew listen for too long',
    file: 'src/control/lifecycle/leading.js',
    from: 'least: 1200, quiet: 600, most: 2500',
    to: 'least: 25000, quiet: 600, most: 25000',
    judge: 'backInTime',
    only: ['agentKilled'],
    seconds: 4,
    final: 'alive',
  },
  ...WallPlants,
];

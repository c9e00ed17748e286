// Defects in the walls between tenants, each of which the judge of walls must find under live traffic.
import type { Plants } from './plants.js';

export type WallPlants = readonly Plants[];

const common = {
  judge: 'tenantsStayApart',
  deployment: 'baobab',
  seconds: 15,
  atOnce: 3,
  final: 'off',
} as const;
const wall = 'src/manifest/wall.js';
const startedBefore = [
  "const { existsSync, writeFileSync } = process.getBuiltinModule('fs');",
  "const mark = process.argv.at(-1) + '.started';",
  'const isAgain = existsSync(mark);',
  "writeFileSync(mark, '');",
  'const defaultSaltName =',
].join('\n');

export const WallPlants: WallPlants = [
  {
    ...common,
    name: 'walls: the salt is left out on a retry',
    file: 'src/proxy/filters/attempt.js',
    from: 'CacheSalt.body(call, step.model, group.wall)',
    to: "CacheSalt.body(call.isTried ? { ...call, wall: { ...call.wall, salt: '' } } : ((call.isTried = true), call), step.model, group.wall)",
    only: ['serverResets', 'groupResets', 'groupFails'],
  },
  {
    ...common,
    name: 'walls: the salt is left out when a stream is resumed',
    file: 'src/proxy/stream-response.js',
    from: 'await call.resume(events.lastId(), this.sent)',
    to: 'await ((call.wall = { ...call.wall, salt: "" }), call.resume(events.lastId(), this.sent))',
    only: ['groupCuts', 'serverCuts'],
    seconds: 25,
  },
  {
    ...common,
    name: 'walls: the salt is left out after a restart',
    file: wall,
    from: 'const defaultSaltName =',
    to: startedBefore,
    also: {
      file: wall,
      from: "salt: Buffer.from(bytes).toString('base64url')",
      to: "salt: isAgain ? '' : Buffer.from(bytes).toString('base64url')",
    },
    only: ['proxyKilled', 'frontKilled'],
    seconds: 20,
  },
  {
    ...common,
    name: 'walls: two tenants have one salt',
    file: wall,
    from: `\\0\${name}\``,
    to: '`',
    only: ['agentKilled'],
  },
  {
    ...common,
    name: 'walls: a caller’s own salt is let through',
    file: 'src/proxy/cache-salt.js',
    from: '[way.name]: wall.salt',
    to: '[way.name]: json[way.name] ?? wall.salt',
    only: ['agentKilled'],
  },
  {
    ...common,
    name: 'walls: a key is used over generations',
    file: wall,
    from: `\\0\${generation}`,
    to: '',
    only: ['agentKilled'],
    seconds: 20,
  },
];

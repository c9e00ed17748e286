// The manifest as operators write it, and the platform's server list, each described once as a guard
// from which the type follows. The names of timeouts, retry conditions and ejection settings are the
// paper's; spans are milliseconds.
import { Guard } from '../common/guard.js';
import type { Id } from '../common/id.js';

const word = { like: /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, as: 'a name of letters, digits, . _ -' };
const header = Guard.text({ like: /^[a-z0-9-]{1,64}$/, as: 'a header name in lower case' });
const span = Guard.whole({ min: 1, max: 3_600_000 });
const status = Guard.whole({ min: 400, max: 599 });
const path = Guard.text({ like: /^\/[^\s?#]*$/, as: 'a path that begins with /' });

const group = Guard.text<Id.Group>(word);
const region = Guard.text<Id.Region>(word);
const zone = Guard.text<Id.Zone>(word);
const home = Guard.text<Id.Home>(word);
const team = Guard.text<Id.Team>(word);
const instance = Guard.text<Id.Instance>(word);

const timeouts = { connect: span, first_byte: span, per_try: span, total: span, idle: span };
const place = Guard.record(
  {},
  { header, pointer: Guard.text({ like: /^(\/[^/]*)+$/, as: 'a JSON pointer' }) },
);

const identity = Guard.record(
  { path },
  {
    service: Guard.record({ at: place, is: Guard.text({ max: 256 }) }),
    instance: place,
  },
);

const ejection = Guard.record(
  {},
  {
    consecutive_5xx: Guard.whole({ min: 1, max: 1000 }),
    base_ejection_time: span,
    max_ejection_percent: Guard.whole({ min: 0, max: 100 }),
  },
);

const proof = Guard.record({ header }, { misdirected: status });
const warmup = Guard.record({ per_second: Guard.number({ min: 0, max: 1_000_000 }), span });

const wall = Guard.record(
  { by: Guard.oneOf('field', 'header', 'none') },
  {
    name: Guard.text({ like: /^[a-z0-9_-]{1,64}$/, as: 'a field or header name in lower case' }),
    for: Guard.text(word),
  },
);

const catalogueEntry = Guard.record(
  { kind: Guard.oneOf('model', 'plain'), regions: Guard.list(region, { min: 1 }) },
  {
    proof,
    echo: header,
    warmup,
    connections: Guard.whole({ min: 1, max: 1_000_000 }),
    memory: Guard.whole({ min: 1 }),
    health: path,
    models: Guard.list(Guard.text({ max: 128 }), { min: 1 }),
    adapters: Guard.list(Guard.text({ max: 128 })),
    identity,
    wall,
    not_run: Guard.list(Guard.record({ status }, { header, is: Guard.text({ max: 128 }) })),
    concurrent: Guard.whole({ min: 1, max: 100_000 }),
    ejection,
  },
);

const conditions = [
  'connect-failure',
  'refused-stream',
  'reset',
  'gateway-error',
  '5xx',
  'retriable-status-codes',
] as const;

const retry = Guard.record(
  {},
  {
    retry_on: Guard.list(Guard.oneOf(...conditions)),
    codes: Guard.list(status),
    count: Guard.whole({ min: 0, max: 10 }),
    base: span,
    max: span,
  },
);

const rule = Guard.record(
  {
    name: Guard.text(word),
    match: Guard.record(
      { path },
      {
        host: Guard.text({ max: 253 }),
        method: Guard.oneOf('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD'),
        models: Guard.list(Guard.text({ max: 128 }), { min: 1 }),
        headers: Guard.map(Guard.text({ max: 256 }), header),
      },
    ),
    groups: Guard.list(group, { min: 1, max: 32 }),
    runs: Guard.oneOf('once', 'repeatable', 'resumable'),
  },
  {
    home: Guard.record({}, { header, regions: Guard.list(region, { min: 1 }) }),
    weights: Guard.map(Guard.number({ min: 0, max: 1_000_000_000 }), group),
    aim: span,
    gap: span,
    priority: Guard.whole({ min: 0, max: 9 }),
    spill: Guard.list(region),
    fallback: Guard.list(
      Guard.record({ groups: Guard.list(group, { min: 1, max: 32 }) }, { model: Guard.text({ max: 128 }) }),
      { max: 8 },
    ),
    hops: Guard.whole({ min: 0, max: 16 }),
    timeouts: Guard.record({}, timeouts),
    bounds: Guard.record({}, timeouts),
    retry,
    affinity: Guard.flag,
    wall: Guard.oneOf('own', 'shared'),
    body: Guard.whole({ min: 0, max: 64 * 1024 * 1024 }),
    teams: Guard.list(team, { min: 1 }),
  },
);

const quota = Guard.record(
  { span: Guard.whole({ min: 1000, max: 86_400_000 }) },
  { requests: Guard.whole({ min: 1 }), prompt: Guard.whole({ min: 1 }) },
);

const limits = Guard.record(
  {},
  {
    header_bytes: Guard.whole({ min: 1, max: 16 * 1024 * 1024 }),
    body_bytes: Guard.whole({ min: 1, max: 64 * 1024 * 1024 }),
    header_time: span,
    idle: span,
  },
);

const walls = Guard.record(
  { generation: Guard.whole({ min: 1 }) },
  {
    secret: Guard.text({ like: /^([0-9a-f]{64}|new)$/, as: '32 bytes in hexadecimal, or new' }),
    owners: Guard.map(Guard.record({ teams: Guard.list(team, { min: 1 }) }), Guard.text(word)),
  },
);

const source = Guard.record({
  format: Guard.text(word),
  number: Guard.whole({ min: 0 }),
  digest: Guard.text({ max: 128 }),
  packed: Guard.text({ max: 32 * 1024 * 1024 }),
});

const manifest = Guard.record(
  {
    zones: Guard.map(Guard.record({ region }), zone),
    groups: Guard.map(catalogueEntry, group),
    homes: Guard.map(Guard.record({ regions: Guard.list(region, { min: 1 }) }), home),
    teams: Guard.map(
      Guard.record(
        {
          keys: Guard.list(Guard.text({ like: /^[0-9a-f]{64}$/, as: 'a SHA-256 in hexadecimal' }), {
            max: 100,
          }),
        },
        { home, homes: Guard.list(home, { min: 1 }), quota, open: Guard.flag },
      ),
      team,
    ),
    rules: Guard.list(rule, { max: 5000 }),
  },
  { evacuations: Guard.list(zone), note: Guard.text({ max: 4096 }), limits, source, walls },
);

const server = Guard.record(
  { instance, group, address: Guard.address, region, zone },
  {
    slots: Guard.whole({ min: 1, max: 1_000_000 }),
    warming: Guard.whole({ min: 0 }),
    software: Guard.text({ max: 128 }),
    isLeaving: Guard.flag,
  },
);
const servers = Guard.record({ serial: Guard.whole({ min: 1 }), servers: Guard.list(server) });

export type Document = Guard.Of<typeof manifest>;

export declare namespace Document {
  type Group = Guard.Of<typeof catalogueEntry>;
  type Rule = Guard.Of<typeof rule>;
  type Quota = Guard.Of<typeof quota>;
  type Walls = Guard.Of<typeof walls>;
  type Source = Guard.Of<typeof source>;
  type Limits = Guard.Of<typeof limits>;
  type Proof = Guard.Of<typeof proof>;
  type Warmup = Guard.Of<typeof warmup>;
  type Identity = Guard.Of<typeof identity>;
  type Server = Guard.Of<typeof server>;
  type Servers = Guard.Of<typeof servers>;
  type Timeouts = Guard.Required<typeof timeouts>;
  type Place = Guard.Of<typeof place>;
}

export const Document = { manifest, servers, leaving: Guard.record({ instance }), conditions };

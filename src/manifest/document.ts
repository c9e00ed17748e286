// The manifest as operators write it, and the platform's server list, each described once as a guard
// from which the type follows. The names of timeouts, retry conditions and ejection settings are the
// paper's; spans are milliseconds.
import { Guard } from '../common/guard.js';
import type { Id } from '../common/id.js';

const word = { like: /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, as: 'a name of letters, digits, . _ -' };
const header = Guard.string({ like: /^[a-z0-9-]{1,64}$/, as: 'a header name in lower case' });
const span = Guard.integer({ min: 1, max: 3_600_000 });
const status = Guard.integer({ min: 400, max: 599 });
const path = Guard.string({ like: /^\/[^\s?#]*$/, as: 'a path that begins with /' });

const group = Guard.string<Id.Group>(word);
const region = Guard.string<Id.Region>(word);
const zone = Guard.string<Id.Zone>(word);
const home = Guard.string<Id.Home>(word);
const team = Guard.string<Id.Team>(word);
const instance = Guard.string<Id.Instance>(word);

const timeouts = { connect: span, first_byte: span, per_try: span, total: span, idle: span };
const place = Guard.strictObject(
  {},
  { header, pointer: Guard.string({ like: /^(\/[^/]*)+$/, as: 'a JSON pointer' }) },
);

const identity = Guard.strictObject(
  { path },
  {
    service: Guard.strictObject({ at: place, is: Guard.string({ max: 256 }) }),
    instance: place,
  },
);

const ejection = Guard.strictObject(
  {},
  {
    consecutive_5xx: Guard.integer({ min: 1, max: 1000 }),
    base_ejection_time: span,
    max_ejection_percent: Guard.integer({ min: 0, max: 100 }),
  },
);

const proof = Guard.strictObject({ header }, { misdirected: status });
const warmup = Guard.strictObject({ per_second: Guard.number({ min: 0, max: 1_000_000 }), span });

const wall = Guard.strictObject(
  { by: Guard.oneOf('field', 'header', 'none') },
  {
    name: Guard.string({ like: /^[a-z0-9_-]{1,64}$/, as: 'a field or header name in lower case' }),
    for: Guard.string(word),
  },
);

const catalogueEntry = Guard.strictObject(
  { kind: Guard.oneOf('model', 'plain'), regions: Guard.list(region, { min: 1 }) },
  {
    proof,
    echo: header,
    warmup,
    connections: Guard.integer({ min: 1, max: 1_000_000 }),
    memory: Guard.integer({ min: 1 }),
    health: path,
    models: Guard.list(Guard.string({ max: 128 }), { min: 1 }),
    adapters: Guard.list(Guard.string({ max: 128 })),
    identity,
    wall,
    not_run: Guard.list(Guard.strictObject({ status }, { header, is: Guard.string({ max: 128 }) })),
    concurrent: Guard.integer({ min: 1, max: 100_000 }),
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

const retry = Guard.strictObject(
  {},
  {
    retry_on: Guard.list(Guard.oneOf(...conditions)),
    codes: Guard.list(status),
    count: Guard.integer({ min: 0, max: 10 }),
    base: span,
    max: span,
  },
);

const rule = Guard.strictObject(
  {
    name: Guard.string(word),
    match: Guard.strictObject(
      { path },
      {
        host: Guard.string({ max: 253 }),
        method: Guard.oneOf('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD'),
        models: Guard.list(Guard.string({ max: 128 }), { min: 1 }),
        headers: Guard.map(Guard.string({ max: 256 }), header),
      },
    ),
    groups: Guard.list(group, { min: 1, max: 32 }),
    runs: Guard.oneOf('once', 'repeatable', 'resumable'),
  },
  {
    home: Guard.strictObject({}, { header, regions: Guard.list(region, { min: 1 }) }),
    weights: Guard.map(Guard.number({ min: 0, max: 1_000_000_000 }), group),
    aim: span,
    gap: span,
    priority: Guard.integer({ min: 0, max: 9 }),
    spill: Guard.list(region),
    fallback: Guard.list(
      Guard.strictObject(
        { groups: Guard.list(group, { min: 1, max: 32 }) },
        { model: Guard.string({ max: 128 }) },
      ),
      { max: 8 },
    ),
    hops: Guard.integer({ min: 0, max: 16 }),
    timeouts: Guard.strictObject({}, timeouts),
    bounds: Guard.strictObject({}, timeouts),
    retry,
    affinity: Guard.boolean,
    wall: Guard.oneOf('own', 'shared'),
    body: Guard.integer({ min: 0, max: 64 * 1024 * 1024 }),
    teams: Guard.list(team, { min: 1 }),
  },
);

const quota = Guard.strictObject(
  { span: Guard.integer({ min: 1000, max: 86_400_000 }) },
  { requests: Guard.integer({ min: 1 }), prompt: Guard.integer({ min: 1 }) },
);

const limits = Guard.strictObject(
  {},
  {
    header_bytes: Guard.integer({ min: 1, max: 16 * 1024 * 1024 }),
    body_bytes: Guard.integer({ min: 1, max: 64 * 1024 * 1024 }),
    header_time: span,
    idle: span,
  },
);

const walls = Guard.strictObject(
  { generation: Guard.integer({ min: 1 }) },
  {
    secret: Guard.string({ like: /^([0-9a-f]{64}|new)$/, as: '32 bytes in hexadecimal, or new' }),
    owners: Guard.map(Guard.strictObject({ teams: Guard.list(team, { min: 1 }) }), Guard.string(word)),
  },
);

const source = Guard.strictObject({
  format: Guard.string(word),
  number: Guard.integer({ min: 0 }),
  digest: Guard.string({ max: 128 }),
  packed: Guard.string({ max: 32 * 1024 * 1024 }),
});

const manifest = Guard.strictObject(
  {
    zones: Guard.map(Guard.strictObject({ region }), zone),
    groups: Guard.map(catalogueEntry, group),
    homes: Guard.map(Guard.strictObject({ regions: Guard.list(region, { min: 1 }) }), home),
    teams: Guard.map(
      Guard.strictObject(
        {
          keys: Guard.list(Guard.string({ like: /^[0-9a-f]{64}$/, as: 'a SHA-256 in hexadecimal' }), {
            max: 100,
          }),
        },
        { home, homes: Guard.list(home, { min: 1 }), quota, open: Guard.boolean },
      ),
      team,
    ),
    rules: Guard.list(rule, { max: 5000 }),
  },
  { evacuations: Guard.list(zone), note: Guard.string({ max: 4096 }), limits, source, walls },
);

const server = Guard.strictObject(
  { instance, group, address: Guard.address, region, zone },
  {
    slots: Guard.integer({ min: 1, max: 1_000_000 }),
    warming: Guard.integer({ min: 0 }),
    software: Guard.string({ max: 128 }),
    isLeaving: Guard.boolean,
  },
);
const servers = Guard.strictObject({ serial: Guard.integer({ min: 1 }), servers: Guard.list(server) });

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

export const Document = { manifest, servers, leaving: Guard.strictObject({ instance }), conditions };

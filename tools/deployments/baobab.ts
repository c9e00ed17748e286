// Pharmacie Baobab Réseau: renewal summaries (long, once), counter questions (short, longer answers)
// and stock lookups (may be asked twice), over Dakar, Thiès and Saint-Louis.
import { Deployment } from './deployment.js';

const keys = { counter: 'baobab-counter-key', pharmacist: 'baobab-pharmacist-key' };

export const Baobab: Deployment = {
  name: 'baobab',
  zones: [
    { zone: 'dakar-1', region: 'dakar', fronts: 4 },
    { zone: 'thies-1', region: 'thies', fronts: 3 },
    { zone: 'saint-louis-1', region: 'saint-louis', fronts: 2 },
  ],
  backEnds: [
    { kind: 'model', group: 'pharma-llm', zone: 'dakar-1', region: 'dakar', count: 3, models: ['renewal', 'counter'] },
    { kind: 'model', group: 'pharma-llm', zone: 'thies-1', region: 'thies', count: 2, models: ['renewal', 'counter'] },
    {
      kind: 'model',
      group: 'pharma-llm',
      zone: 'saint-louis-1',
      region: 'saint-louis',
      count: 1,
      models: ['renewal', 'counter'],
    },
    { kind: 'ordering', group: 'ordering', zone: 'dakar-1', region: 'dakar', count: 1, models: [] },
    { kind: 'ordering', group: 'ordering', zone: 'thies-1', region: 'thies', count: 1, models: [] },
    { kind: 'ordering', group: 'ordering', zone: 'saint-louis-1', region: 'saint-louis', count: 1, models: [] },
  ],
  manifest: {
    zones: {
      'dakar-1': { region: 'dakar' },
      'thies-1': { region: 'thies' },
      'saint-louis-1': { region: 'saint-louis' },
    },
    groups: {
      'pharma-llm': {
        kind: 'model',
        models: ['renewal', 'counter'],
        regions: ['dakar', 'thies', 'saint-louis'],
        identity: {
          path: '/v1/models',
          service: { at: { pointer: '/data/0/owned_by' }, is: 'pharma-llm' },
          instance: { header: 'x-instance-id' },
        },
        not_run: [
          { status: 429, header: 'x-not-run' },
          { status: 503, header: 'x-not-run' },
        ],
        concurrent: 8,
      },
      ordering: {
        kind: 'plain',
        regions: ['dakar', 'thies', 'saint-louis'],
        identity: {
          path: '/identity',
          service: { at: { pointer: '/service' }, is: 'ordering' },
          instance: { pointer: '/instance' },
        },
      },
    },
    homes: {
      dakar: { regions: ['dakar', 'thies', 'saint-louis'] },
      thies: { regions: ['thies', 'dakar'] },
      'saint-louis': { regions: ['saint-louis', 'dakar'] },
    },
    teams: {
      counter: { keys: [Deployment.hash(keys.counter)], home: 'dakar' },
      pharmacist: { keys: [Deployment.hash(keys.pharmacist)], home: 'dakar' },
    },
    rules: [
      {
        name: 'renewal',
        match: { path: '/v1/chat/completions', method: 'POST', models: ['renewal'] },
        groups: ['pharma-llm'],
        runs: 'once',
        home: { header: 'x-home' },
        spill: ['dakar', 'thies', 'saint-louis'],
        timeouts: { connect: 1000, first_byte: 8000, per_try: 9000, total: 15_000, idle: 5000 },
      },
      {
        name: 'counter',
        match: { path: '/v1/chat/completions', method: 'POST', models: ['counter'] },
        groups: ['pharma-llm'],
        runs: 'repeatable',
        home: { header: 'x-home' },
        spill: ['dakar', 'thies', 'saint-louis'],
        timeouts: { connect: 1000, first_byte: 4000, per_try: 5000, total: 12_000, idle: 5000 },
      },
      {
        name: 'stock',
        match: { path: '/stock/*', method: 'GET' },
        groups: ['ordering'],
        runs: 'repeatable',
        home: { header: 'x-home' },
        spill: ['dakar', 'thies', 'saint-louis'],
        affinity: false,
        timeouts: { connect: 500, first_byte: 1000, per_try: 1500, total: 4000, idle: 2000 },
        retry: { retry_on: ['connect-failure', 'reset', '5xx', 'gateway-error'], count: 2 },
      },
    ],
    evacuations: [],
  } as unknown as Deployment['manifest'],
  mix: [
    {
      name: 'renewal',
      perSecond: 3,
      runs: 'once',
      method: 'POST',
      path: '/v1/chat/completions',
      key: keys.pharmacist,
      homes: ['dakar', 'dakar', 'thies', 'saint-louis'],
      model: 'renewal',
      prefixes: 12,
      prefixLength: 12_000,
      ownLength: 2000,
      tokens: 20,
    },
    {
      name: 'counter',
      perSecond: 4,
      runs: 'repeatable',
      method: 'POST',
      path: '/v1/chat/completions',
      key: keys.counter,
      homes: ['dakar', 'dakar', 'thies', 'saint-louis'],
      model: 'counter',
      prefixes: 3,
      prefixLength: 600,
      ownLength: 200,
      tokens: 60,
    },
    {
      name: 'stock',
      perSecond: 9,
      runs: 'repeatable',
      method: 'GET',
      path: '/stock/insulin',
      key: keys.counter,
      homes: ['dakar', 'thies', 'saint-louis'],
      prefixes: 1,
      prefixLength: 0,
      ownLength: 0,
      tokens: 0,
    },
  ],
};

// Likhet Analys: full thesis comparisons (long, once, billed) and draft checks (short, longer answers),
// over Stockholm, Gothenburg and Oslo. Swedish homes never leave Sweden.
import { Deployment } from './deployment.js';

const keys = { teacher: 'likhet-teacher-key', student: 'likhet-student-key' };

const models = ['compare', 'check', 'follow'];

export const Likhet: Deployment = {
  name: 'likhet',
  zones: [
    { zone: 'stockholm-1', region: 'stockholm', fronts: 3 },
    { zone: 'gothenburg-1', region: 'gothenburg', fronts: 2 },
    { zone: 'oslo-1', region: 'oslo', fronts: 2 },
  ],
  backEnds: [
    { kind: 'model', group: 'thesis-llm', zone: 'stockholm-1', region: 'stockholm', count: 5, models },
    { kind: 'model', group: 'thesis-llm', zone: 'gothenburg-1', region: 'gothenburg', count: 4, models },
    { kind: 'model', group: 'thesis-llm', zone: 'oslo-1', region: 'oslo', count: 4, models },
  ],
  manifest: {
    zones: {
      'stockholm-1': { region: 'stockholm' },
      'gothenburg-1': { region: 'gothenburg' },
      'oslo-1': { region: 'oslo' },
    },
    groups: {
      'thesis-llm': {
        kind: 'model',
        echo: 'bramblebend-request-id',
        models,
        regions: ['stockholm', 'gothenburg', 'oslo'],
        identity: {
          path: '/v1/models',
          service: { at: { pointer: '/data/0/owned_by' }, is: 'thesis-llm' },
          instance: { header: 'x-instance-id' },
        },
        not_run: [
          { status: 429, header: 'x-not-run' },
          { status: 503, header: 'x-not-run' },
        ],
        concurrent: 8,
        wall: { by: 'field', name: 'cache_salt' },
      },
    },
    homes: {
      'sweden-east': { regions: ['stockholm', 'gothenburg'] },
      'sweden-west': { regions: ['gothenburg', 'stockholm'] },
      norway: { regions: ['oslo'] },
    },
    teams: {
      teachers: { keys: [Deployment.hash(keys.teacher)], home: 'sweden-east' },
      students: { keys: [Deployment.hash(keys.student)], home: 'sweden-east' },
    },
    rules: [
      {
        name: 'compare',
        match: { path: '/v1/chat/completions', method: 'POST', models: ['compare'] },
        groups: ['thesis-llm'],
        runs: 'once',
        home: { header: 'x-home' },
        spill: ['stockholm', 'gothenburg'],
        timeouts: { connect: 1000, first_byte: 8000, per_try: 9000, total: 15_000, idle: 5000 },
      },
      {
        name: 'check',
        match: { path: '/v1/chat/completions', method: 'POST', models: ['check'] },
        groups: ['thesis-llm'],
        runs: 'repeatable',
        home: { header: 'x-home' },
        spill: ['stockholm', 'gothenburg'],
        timeouts: { connect: 1000, first_byte: 4000, per_try: 5000, total: 12_000, idle: 5000 },
      },
      {
        name: 'follow',
        match: { path: '/v1/chat/completions', method: 'POST', models: ['follow'] },
        groups: ['thesis-llm'],
        runs: 'resumable',
        home: { header: 'x-home' },
        spill: ['stockholm', 'gothenburg'],
        timeouts: { connect: 1000, first_byte: 4000, per_try: 5000, total: 12_000, idle: 5000 },
      },
    ],
    evacuations: [],
    walls: { generation: 1 },
  } as unknown as Deployment['manifest'],
  mix: [
    {
      name: 'compare',
      perSecond: 4,
      runs: 'once',
      method: 'POST',
      path: '/v1/chat/completions',
      key: keys.teacher,
      homes: ['sweden-east', 'sweden-west', 'norway'],
      model: 'compare',
      prefixes: 20,
      prefixLength: 16_000,
      ownLength: 6000,
      tokens: 20,
    },
    {
      name: 'check',
      perSecond: 8,
      runs: 'repeatable',
      method: 'POST',
      path: '/v1/chat/completions',
      key: keys.student,
      homes: ['sweden-east', 'sweden-west', 'norway'],
      model: 'check',
      prefixes: 4,
      prefixLength: 800,
      ownLength: 800,
      tokens: 70,
    },
    ...Deployment.alike(keys, 'check', ['sweden-east', 'sweden-west', 'norway']),
  ],
};

/** The flags of pewtersim, with their types and defaults. */
export const flags = {
  data: { type: 'string' },
  seconds: { type: 'number', default: 10 },
  faults: { type: 'string' },
  draw: { type: 'number', default: 0 },
  seed: { type: 'number', default: 1 },
  seeds: { type: 'number', default: 1 },
  days: { type: 'number', default: 100 },
  deployment: { type: 'string', default: 'listed' },
  compare: { type: 'string' },
  json: { type: 'boolean', default: false },
  ci: { type: 'boolean', default: false },
  trace: { type: 'boolean', default: false },
} as const;

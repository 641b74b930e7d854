const task = { path: '/p/', headers: { a: 'b' }, body: new Uint8Array([1, 2]) };
const same = { service: 's', bodyHash: 'h', createdMs: 1000, endedMs: 1500, outputTokens: 3, bytesPerToken: 2, order: [1] };
const route = { name: 'r', host: 'a.example', version: 3, sentMs: 1000, dueMs: 20, retainMs: 500, keepMs: 9000 };
const leased = { id: 'l0', input: '', task, tokens: 10, state: 'IN_PROGRESS', queuedAtMs: 1000, notBeforeMs: 7, failures: 1 };
const final = { id: 'l1', input: '"x"', state: 'COMPLETED', queuedAtMs: 1000, notBeforeMs: 0, result: '{"epoch":1,"lot":"l"}' };

/** One batch with every field: as format 1 stored it, and in the present format. */
export const format1Records = {
  stored: {
    ...same,
    id: 'l',
    branch: 'north',
    repeatable: true,
    route: { ...route, tries: 2 },
    items: [
      { ...leased, tries: 4, lease: { epoch: 2, number: 6, front: 'f' } },
      { ...final, tries: 0 },
    ],
  },
  present: {
    ...same,
    id: 'l',
    quota: 'north',
    idempotent: true,
    route: { ...route, attempts: 2 },
    items: [
      { ...leased, attempts: 4, lease: { term: 2, number: 6, front: 'f' } },
      { ...final, attempts: 0 },
    ],
  },
} as const;

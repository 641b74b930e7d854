// Commands on a shard of lots as the build at commit db06e1c writes them: every kind, and items in every state.

const lease = (epoch, number) => ({ epoch, number, front: 'front-1' });
const sentMs = 1_700_000_000_000;
const laterMs = 1_900_000_000_000;

const item = (lot, place, more = {}) => ({ id: `${lot}/${place}`, input: `input ${place} of ${lot}`, state: 'QUEUED', queuedAtMs: sentMs + place, notBeforeMs: 0, tries: 0, ...more });

const own = (id, items, more = {}) => ({
  t: 'hand',
  lot: {
    id, branch: 'north', service: 'ask', bodyHash: `hash of ${id}`, repeatable: true, createdMs: sentMs, outputTokens: 200, bytesPerToken: 4,
    items: Array.from({ length: items }, (_, place) => item(id, place)), ...more,
  },
});

const opaque = (id, items, waitingTokens) => ({
  t: 'hand',
  ...(waitingTokens === undefined ? {} : { waitingTokens }),
  lot: {
    id, branch: 'lots.example', service: 'book', bodyHash: `hash of ${id}`, repeatable: false, createdMs: sentMs, outputTokens: 100, bytesPerToken: 4,
    route: { name: 'nightly', host: 'lots.example', version: 3, sentMs, dueMs: 60_000, retainMs: 90_000, keepMs: 120_000, tries: 2 },
    items: Array.from({ length: items }, (_, place) =>
      item(id, place, { input: '', tokens: 10 + place, task: { path: `/nightly/${place}`, headers: { 'content-type': 'application/octet-stream' }, body: new Uint8Array([0, 255, place]) } })),
  },
});

/** Larger than all that follows, and gone before it. */
const filler = (place) => own(`filler-${place}`, 1, { createdMs: 1, items: [item(`filler-${place}`, 0, { input: 'x'.repeat(6000), state: 'COMPLETED', result: 'y' })] });

/** All kinds of commands and of returns; `first` and the number after it are the dispatchers' epochs. */
function all(prefix, first) {
  const ref = (lot, place) => ({ lot: `${prefix}-${lot}`, place });
  let numbers = 0;
  const steps = [];
  const step = (command) => void steps.push(command);
  const given = new Map();
  const claim = (epoch, lot, ...places) => {
    const claims = places.map((place) => {
      numbers += 1;
      given.set(`${lot} ${place}`, lease(epoch, numbers));
      return { ref: ref(lot, place), lease: lease(epoch, numbers) };
    });
    step({ t: 'claim', epoch, claims });
  };
  const held = (lot, place) => ({ ref: ref(lot, place), lease: given.get(`${lot} ${place}`) });
  const start = (lot, place) => step({ t: 'start', ...held(lot, place) });
  const release = (lot, place, more) => step({ t: 'release', ...held(lot, place), notBeforeMs: 0, tried: false, maxTries: 3, ...more });
  const close = (lot, place, state, result) => step({ t: 'close', ...held(lot, place), state, result });

  step(own(`${prefix}-own`, 10));
  step(own(`${prefix}-own`, 10));
  step(own(`${prefix}-own`, 1, { bodyHash: 'another hash' }));
  step(own(`${prefix}-once`, 2, { repeatable: false }));
  step(own(`${prefix}-ended`, 4));
  step(own(`${prefix}-forgotten`, 1, { createdMs: 5 }));
  step(opaque(`${prefix}-opaque`, 8, 10_000));
  step(opaque(`${prefix}-refused`, 1, 1));
  step(opaque(`${prefix}-opaque-ended`, 3));
  step(opaque(`${prefix}-expired`, 2));
  step(opaque(`${prefix}-dropped`, 1));
  step({ t: 'fence', epoch: first });
  claim(first, 'own', 1, 3, 4, 5, 6, 7, 8);
  claim(first, 'once', 0);
  claim(first, 'ended', 0, 2, 3);
  claim(first, 'opaque', 2, 3, 4, 6);
  claim(first, 'opaque-ended', 0, 1);
  start('own', 3);
  start('own', 4);
  start('own', 5);
  start('own', 6);
  start('once', 0);
  start('ended', 0);
  start('ended', 3);
  start('opaque', 2);
  start('opaque', 3);
  start('opaque-ended', 0);
  release('own', 1, { notBeforeMs: laterMs, tried: true });
  release('own', 8, { tried: true, maxTries: 0 });
  close('own', 4, 'COMPLETED', 'the answer');
  close('own', 5, 'FAILED', '{"error":"it broke"}');
  close('ended', 0, 'COMPLETED', 'before the end');
  close('opaque', 3, 'COMPLETED', 'settled with ünïcode');
  step({ t: 'lost', ...held('own', 6) });
  step({ t: 'lost', ...held('once', 0) });
  release('opaque', 4, { failed: true });
  claim(first, 'opaque', 4);
  release('opaque', 4, { failed: true });
  release('opaque', 6, { failed: true, notBeforeMs: laterMs, waitMs: 500 });
  step({ t: 'abandon', refs: [ref('opaque', 5)], version: 4 });
  step({ t: 'end', lot: `${prefix}-ended`, atMs: sentMs + 1000 });
  start('ended', 2);
  step({ t: 'end', lot: `${prefix}-opaque-ended`, atMs: sentMs + 2000, host: 'lots.example' });
  step({ t: 'end', lot: `${prefix}-opaque-ended`, atMs: sentMs + 3000, host: 'other.example' });
  step({ t: 'end', lot: `${prefix}-forgotten`, atMs: 6 });
  step({ t: 'forget', beforeMs: 10 });
  step({ t: 'expire', lots: [`${prefix}-expired`, `${prefix}-dropped`] });
  step({ t: 'drop', lots: [`${prefix}-dropped`] });
  // Another dispatcher: what had not started goes back, and is given out again.
  step({ t: 'fence', epoch: first + 1 });
  step({ t: 'fence', epoch: first });
  claim(first, 'own', 0);
  claim(first + 1, 'own', 2, 3);
  claim(first + 1, 'opaque', 1);
  start('own', 2);
  claim(first + 1, 'own', 9);
  close('own', 9, 'COMPLETED', 'too early');
  step({ t: 'start', ref: ref('own', 99), lease: lease(first + 1, 99) });
  step({ t: 'close', ref: ref('own', 2), lease: lease(first + 1, 77), state: 'COMPLETED', result: 'under a strange lease' });
  step({ t: 'start', ref: ref('own', 0), lease: lease(first, 1) });
  return Object.fromEntries(steps.map((command, at) => [`${prefix}-${at}-${command.t}`, command]));
}

export const lotSteps = { filler, all };

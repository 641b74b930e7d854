import { describe, it } from 'node:test';
import { expect } from 'earl';
import Fastify from 'fastify';
import * as v from 'valibot';
import { Counters } from '@pewterlanding/runtime';
import { BatchView, ResultView } from '@pewterlanding/store';
import { BatchApi } from '../src/server/batchApi.js';
import type { BatchApiFormat } from '../src/server/batchApiFormat.js';
import { batchApiVersion1 } from '../src/server/batchApiVersion1.js';
import { batchApiVersion2 } from '../src/server/batchApiVersion2.js';

const id = `lot_${'0'.repeat(32)}`;
const counts = { COMPLETED: 1 };
const view = v.parse(BatchView, { id, quota: 'north', service: 's', bodyHash: 'h', createdMs: 5, ended: false, items: 1, counts });
/** The fields that both forms have, as they stand in a response. */
const middleText = '"service":"s","bodyHash":"h","createdMs":5,"ended":false,"items":1,"counts":{"COMPLETED":1}';
const results = [
  v.parse(ResultView, { id: 'a', position: 0, state: 'COMPLETED', result: '{"x":1}' }),
  v.parse(ResultView, { id: 'b', position: 1, state: 'FAILED', result: 'no JSON' }),
  v.parse(ResultView, { id: 'c', position: 2, state: 'ENDED' }),
];
const body = { service: 's', items: [{ id: 'a', input: 1 }] };

/** The batch API in one form, over a service that answers the same to every call and notes what it was asked. */
function served(format: BatchApiFormat) {
  const app = Fastify();
  const counters = new Counters();
  const calls: unknown[][] = [];
  const batches = {
    submit: async (quota: string | undefined, key: string) => {
      calls.push(['submit', quota, key]);
      if (quota === 'north') return { kind: 'accepted' as const, batch: view.id };
      return { kind: 'rejected' as const, status: 403 as const, reason: 'no such quota' };
    },
    read: async () => view,
    results: async (_batch: unknown, after: number, limit: number) => {
      calls.push(['results', after, limit]);
      return { batch: view, results, next: 3, done: false };
    },
    end: async () => true,
  };
  new BatchApi({ app, batches, counters, format }).register();
  return { app, counters, calls };
}

describe('the batch API', () => {
  it('answers /v1/batches in the names batch, quota, position and limit', async () => {
    const { app, calls } = served(batchApiVersion2);
    const submitted = await app.inject({
      method: 'POST',
      url: '/v1/batches',
      headers: { quota: 'north', 'idempotency-key': 'k' },
      payload: body,
    });
    expect([submitted.statusCode, submitted.headers.location, submitted.body]).toEqual([201, `/v1/batches/${id}`, `{"id":"${id}"}`]);
    const viewText = `{"id":"${id}","quota":"north",${middleText}}`;
    expect((await app.inject(`/v1/batches/${id}`)).body).toEqual(viewText);
    const page = await app.inject(`/v1/batches/${id}/results?after=1&limit=2`);
    expect(page.body).toEqual(
      `{"batch":${viewText},"results":[{"id":"a","position":0,"state":"COMPLETED","output":{"x":1}},` +
        '{"id":"b","position":1,"state":"FAILED","output":"no JSON"},{"id":"c","position":2,"state":"ENDED"}],"next":3,"done":false}',
    );
    expect(calls).toEqual([
      ['submit', 'north', 'k'],
      ['results', 1, 2],
    ]);
    const wrong = await app.inject(`/v1/batches/${id}/results?limit=x`);
    expect([wrong.statusCode, wrong.json().findings[0].place]).toEqual([400, 'limit']);
  });

  it('answers /v1/lots as before, in the names lot, branch, place and most', async () => {
    const { app, calls } = served(batchApiVersion1);
    const headers = { branch: 'north', 'idempotency-key': 'k' };
    const submitted = await app.inject({ method: 'POST', url: '/v1/lots', headers, payload: body });
    expect([submitted.statusCode, submitted.headers.location, submitted.body]).toEqual([201, `/v1/lots/${id}`, `{"id":"${id}"}`]);
    const viewText = `{"id":"${id}",${middleText},"branch":"north"}`;
    expect((await app.inject(`/v1/lots/${id}`)).body).toEqual(viewText);
    const page = await app.inject(`/v1/lots/${id}/results?after=1&most=2`);
    expect(page.body).toEqual(
      `{"lot":${viewText},"results":[{"id":"a","place":0,"state":"COMPLETED","output":{"x":1}},` +
        '{"id":"b","place":1,"state":"FAILED","output":"no JSON"},{"id":"c","place":2,"state":"ENDED"}],"next":3,"done":false}',
    );
    expect(calls).toEqual([
      ['submit', 'north', 'k'],
      ['results', 1, 2],
    ]);
    const wrong = await app.inject(`/v1/lots/${id}/results?most=x`);
    expect([wrong.statusCode, wrong.json().findings[0].place]).toEqual([400, 'most']);
    expect((await app.inject({ method: 'DELETE', url: `/v1/lots/${id}` })).statusCode).toEqual(204);
  });

  it('counts submissions under the names that operators watch', async () => {
    const { app, counters } = served(batchApiVersion2);
    for (const quota of ['north', 'south', 'south'])
      await app.inject({ method: 'POST', url: '/v1/batches', headers: { quota, 'idempotency-key': 'k' }, payload: body });
    expect(counters.all()).toEqual({ 'lots.made': 1, 'lots.refused': 2 });
  });
});

import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { BatchId, check } from '@pewterlanding/model';
import type { Counters } from '@pewterlanding/runtime';
import { BatchBody } from '../batch-api/index.js';
import type { BatchService } from '../batch-api/index.js';
import type { BatchApiFormat } from './batchApiFormat.js';
import { requestHeaders } from './requestHeaders.js';
import { sendError } from './sendError.js';

interface BatchApiOptions {
  readonly app: FastifyInstance;
  readonly batches: Pick<BatchService, 'submit' | 'read' | 'results' | 'end'>;
  readonly counters: Counters;
  readonly format: BatchApiFormat;
}

type BatchRequest = FastifyRequest<{ Params: { batch: string } }>;
type ResultsRequest = FastifyRequest<{ Params: { batch: string }; Querystring: { after?: string; limit?: string; most?: string } }>;

const maxKeyLength = 200;
const maxPageItems = 200;
/** The counters of submissions keep their names. */
const submissionCounters = { accepted: 'lots.made', rejected: 'lots.refused' } as const;

/** One form of the batch API over HTTP. */
export class BatchApi {
  readonly #options: BatchApiOptions;

  constructor(options: BatchApiOptions) {
    this.#options = options;
  }

  register(): void {
    const { app, format } = this.#options;
    const { path } = format;
    app.post(path, (request, reply) => this.#submit(request, reply));
    app.get(`${path}/:batch`, (request: BatchRequest, reply) => this.#read(request, reply));
    app.get(`${path}/:batch/results`, (request: ResultsRequest, reply) => this.#results(request, reply));
    app.delete(`${path}/:batch`, (request: BatchRequest, reply) => this.#end(request, reply));
  }

  async #submit(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { batches, counters, format } = this.#options;
    const key = requestHeaders.idempotencyKey(request);
    if (key === undefined || key.length === 0 || key.length > maxKeyLength)
      return sendError(reply, 400, `an Idempotency-Key of 1 to ${maxKeyLength} characters is needed`, [
        { place: 'Idempotency-Key', message: 'is missing or too long' },
      ]);
    const body = check(BatchBody, request.body);
    if (!body.ok) return sendError(reply, 400, 'the batch cannot be read', body.findings);
    const submitted = await batches.submit(requestHeaders.quota(request), key, body.value).catch(() => undefined);
    // Whether it was accepted is not known: the same key may be sent again without harm.
    if (submitted === undefined) return sendError(reply, 504, 'outcome unknown; send it again with the same key');
    counters.add(submissionCounters[submitted.kind]);
    if (submitted.kind === 'accepted') {
      void reply.code(201).header('location', `${format.path}/${submitted.batch}`);
      return reply.send({ id: submitted.batch });
    }
    if (submitted.status === 503) void reply.header('retry-after', '1');
    return sendError(reply, submitted.status, submitted.reason, submitted.findings);
  }

  async #read(request: BatchRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { batches, format } = this.#options;
    const view = await withBatch(request.params.batch, (batch) => batches.read(batch));
    if (view === 'silent') return sendSilent(reply);
    if (view === undefined) return sendError(reply, 404, 'no such batch');
    return reply.send(format.batch(view));
  }

  async #results(request: ResultsRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { batches, format } = this.#options;
    const { query } = request;
    const after = Number(query.after ?? 0);
    const limit = Math.min(maxPageItems, Number(query[format.limitParameter] ?? maxPageItems));
    if (!Number.isInteger(after) || after < 0)
      return sendError(reply, 400, 'the cursor cannot be read', [{ place: 'after', message: 'must be a whole number from 0' }]);
    if (!Number.isInteger(limit) || limit < 1)
      return sendError(reply, 400, 'the count cannot be read', [
        { place: format.limitParameter, message: 'must be a whole number from 1' },
      ]);
    const page = await withBatch(request.params.batch, (batch) => batches.results(batch, after, limit));
    if (page === 'silent') return sendSilent(reply);
    if (page === undefined) return sendError(reply, 404, 'no such batch');
    return reply.send(format.page(page));
  }

  async #end(request: BatchRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { batches } = this.#options;
    const ended = await withBatch(request.params.batch, (batch) => batches.end(batch));
    if (ended === 'silent') return sendSilent(reply);
    if (ended !== true) return sendError(reply, 404, 'no such batch');
    return reply.code(204).send();
  }
}

/** Undefined for a text that is no batch id, 'silent' when no leader of the batch's shard could be reached. */
async function withBatch<T>(text: string, run: (batch: BatchId) => Promise<T | undefined>): Promise<T | undefined | 'silent'> {
  const batch = check(BatchId, text);
  if (!batch.ok) return undefined;
  try {
    return await run(batch.value);
  } catch {
    return 'silent';
  }
}

function sendSilent(reply: FastifyReply): FastifyReply {
  void reply.header('retry-after', '1');
  return sendError(reply, 503, 'the batch cannot be reached now');
}

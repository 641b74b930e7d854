import { createParser } from 'eventsource-parser';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import { genuineOutput } from './genuineOutput.js';
import type { ToldRecord } from './toldRecord.js';

interface CallerOptions {
  readonly patienceMs: number;
  readonly told: (record: ToldRecord) => void;
}

type Told = Pick<ToldRecord, 'outcome' | 'status' | 'wrong' | 'firstPieceMs' | 'pieces'>;

const WholeBody = v.object({ output: v.object({ result: v.string(), run: v.string() }) });
const Piece = v.object({ run: v.string(), number: v.number(), of: v.number(), text: v.string() });

/** A caller that checks each return against what an honest replica would have made of its task. */
export class Caller {
  readonly #agent = new Agent({ connections: 512, pipelining: 1 });
  readonly #options: CallerOptions;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  async ask(front: Address, quota: string, service: string, key: string, padBytes: number): Promise<ToldRecord> {
    const sentMs = Date.now();
    const made = (rest: Told): ToldRecord => ({
      key,
      service,
      front,
      sentMs,
      atMs: Date.now(),
      ...rest,
    });
    let record: ToldRecord;
    try {
      const response = await this.#agent.request({
        origin: `http://${front}`,
        path: `/v1/services/${service}/tasks`,
        method: 'POST',
        headers: { 'content-type': 'application/json', branch: quota },
        body: JSON.stringify({ input: { key, pad: 'x'.repeat(padBytes) } }),
        headersTimeout: this.#options.patienceMs,
        bodyTimeout: this.#options.patienceMs,
      });
      record = made(await this.#read(response, key));
    } catch {
      record = made({ outcome: 'lost', status: 0 });
    }
    this.#options.told(record);
    return record;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #read(response: Dispatcher.ResponseData, key: string): Promise<Told> {
    const status = response.statusCode;
    if (status !== 200) {
      await response.body.dump();
      return { outcome: status === 502 || status === 504 || status === 500 ? 'failed' : 'refused', status };
    }
    if (!String(response.headers['content-type']).startsWith('text/event-stream')) {
      const read = v.safeParse(v.pipe(v.string(), v.parseJson(), WholeBody), await response.body.text());
      const genuine = read.success && read.output.output.result === genuineOutput(key);
      return { outcome: 'returned', status, ...(genuine ? {} : { wrong: 'not the genuine return' }) };
    }
    return this.#stream(response, key);
  }

  async #stream(response: Dispatcher.ResponseData, key: string): Promise<Told> {
    const pieces: v.InferOutput<typeof Piece>[] = [];
    let firstPieceMs: number | undefined;
    let end: 'close' | 'failure' | undefined;
    let unreadable = false;
    const parser = createParser({
      onEvent: (event) => {
        if (event.event === 'close' || event.event === 'failure') {
          end = event.event;
          return;
        }
        firstPieceMs ??= Date.now();
        const read = v.safeParse(v.pipe(v.string(), v.parseJson(), Piece), event.data);
        if (read.success) pieces.push(read.output);
        else unreadable = true;
      },
    });
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response.body) parser.feed(decoder.decode(Buffer.from(chunk), { stream: true }));
    } catch {
      // Broken off: whatever came is no clean end.
    }
    // Even of a stream that failed, what was shown must be in order and of one run.
    const first = pieces[0];
    const wrong = pieces.some(
      (piece, position) => piece.number !== position || piece.run !== first?.run || piece.text !== genuineOutput(`${key} ${position}`),
    );
    const whole = end === 'close' && first !== undefined && pieces.length === first.of;
    const fault =
      unreadable || wrong ? 'pieces lost, repeated or joined' : end === 'close' && !whole ? 'a cut stream that ended cleanly' : undefined;
    return {
      outcome: end === 'close' ? 'returned' : 'cut',
      status: 200,
      firstPieceMs,
      pieces: pieces.map(({ run, number, of }) => ({ run, number, of })),
      ...(fault === undefined ? {} : { wrong: fault }),
    };
  }
}

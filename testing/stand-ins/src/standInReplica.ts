import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { request } from 'undici';
import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import { addressParts } from '@pewterlanding/model';
import type { Fault } from './fault.js';
import { genuineOutput } from './genuineOutput.js';
import type { RunRecord } from './runRecord.js';

interface StandInService {
  readonly kind: 'streamed' | 'whole';
  readonly runMs: number;
  readonly pieces: number;
}

interface StandInOptions {
  readonly services: Readonly<Record<string, StandInService>>;
  readonly address: Address;
  readonly zone: string;
  readonly slots: number;
  /** Where it may announce itself. */
  readonly fronts: readonly Address[];
  readonly announceMs: number;
  readonly random: () => number;
  readonly ran: (record: RunRecord) => void;
}

const Task = v.object({ service: v.string(), input: v.object({ key: v.string() }) });

/** About what one piece, or one whole return, comes to. */
const pieceBytes = 110;

/** A model replica or the appointment book, as the brief has them: announces itself, takes so many tasks, sometimes vanishes. */
export class StandInReplica {
  readonly #options: StandInOptions;
  readonly #server: Server;
  #incarnation = Date.now();
  #timer: NodeJS.Timeout | undefined;
  #running = 0;
  #runs = 0;
  #hushed = false;
  fault: Fault = 'none';
  /** Streams that their front broke off. */
  abandoned = 0;

  constructor(options: StandInOptions) {
    this.#options = options;
    this.#server = createServer((message, reply) => {
      this.#take(message, reply).catch(() => reply.destroy());
    });
  }

  /** How many tasks reached it. */
  get taken(): number {
    return this.#runs;
  }

  /** Goes on, or stops, announcing itself. */
  hush(hushed: boolean): void {
    this.#hushed = hushed;
  }

  get address(): Address {
    return this.#options.address;
  }

  async start(): Promise<void> {
    this.#incarnation = Math.max(Date.now(), this.#incarnation + 1);
    const { host, port } = addressParts(this.#options.address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    const announce = (): void => {
      if (!this.#hushed) void this.#say('serving');
      this.#timer = setTimeout(announce, this.#options.announceMs);
    };
    announce();
  }

  /** Says that it leaves, then ends once what it has is done. Resolves when the leaving was taken. */
  async leave(): Promise<boolean> {
    clearTimeout(this.#timer);
    const said = await this.#say('leaving');
    this.#server.close();
    return said;
  }

  /** Goes without a word, breaking everything off. */
  vanish(): void {
    clearTimeout(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #say(state: 'serving' | 'leaving'): Promise<boolean> {
    const said = await Promise.all(Object.keys(this.#options.services).map((service) => this.#sayOne(service, state)));
    return said.every((one) => one);
  }

  async #sayOne(service: string, state: 'serving' | 'leaving'): Promise<boolean> {
    const { address, zone, slots, fronts, random } = this.#options;
    const start = Math.floor(random() * fronts.length);
    for (let step = 0; step < fronts.length; step += 1) {
      const front = fronts[(start + step) % fronts.length];
      try {
        const response = await request(`http://${front}/v1/replicas`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ service, address, zone, slots, incarnation: this.#incarnation, state }),
          headersTimeout: 1000,
        });
        await response.body.dump();
        if (response.statusCode === 204) return true;
      } catch {
        // That front is away; the next one will do.
      }
    }
    return false;
  }

  async #take(message: IncomingMessage, reply: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(Buffer.from(chunk));
    const task = v.parse(v.pipe(v.string(), v.parseJson(), Task), Buffer.concat(chunks).toString('utf8'));
    const id = String(message.headers['task-id']);
    const { slots, services, address, ran } = this.#options;
    const { service } = task;
    const how = services[service];
    if (this.#running >= slots || this.fault === 'full') {
      reply.writeHead(503, { 'task-id': id }).end();
      return;
    }
    if (how === undefined) {
      reply.writeHead(404, { 'task-id': id }).end();
      return;
    }
    this.#running += 1;
    this.#runs += 1;
    const run = `${address}/${this.#incarnation}/${this.#runs}`;
    const inputBytes = Buffer.concat(chunks).length;
    const outputBytes = (how.kind === 'whole' ? 1 : how.pieces) * pieceBytes;
    ran({ key: task.input.key, run, replica: address, service, atMs: Date.now(), bytes: inputBytes + outputBytes });
    try {
      if (this.fault === 'error') reply.writeHead(500, { 'task-id': id }).end();
      else if (this.fault === 'silent') await new Promise((resolve) => reply.once('close', resolve));
      else if (how.kind === 'whole') await this.#whole(how, task.input.key, id, run, reply);
      else await this.#stream(how, task.input.key, id, run, reply);
    } finally {
      this.#running -= 1;
    }
  }

  async #whole(how: StandInService, key: string, id: string, run: string, reply: ServerResponse): Promise<void> {
    await this.#wait(how.runMs * (0.5 + this.#options.random()));
    const echo = this.fault === 'wrongTask' ? 'another-task' : id;
    const honest = JSON.stringify({ task: echo, output: { result: genuineOutput(key), run } });
    const body = this.fault === 'rubbish' ? '<html>not this</html>' : this.fault === 'long' ? honest + honest : honest;
    const length = Buffer.byteLength(body) + (this.fault === 'short' ? 40 : 0);
    reply.writeHead(200, { 'content-type': 'application/json', 'content-length': length, 'task-id': echo });
    if (this.fault === 'short' || this.fault === 'cut') reply.write(body.slice(0, body.length / 2), () => reply.destroy());
    else reply.end(body);
  }

  async #stream(how: StandInService, key: string, id: string, run: string, reply: ServerResponse): Promise<void> {
    const { random } = this.#options;
    const { pieces, runMs } = how;
    reply.writeHead(200, { 'content-type': 'text/event-stream', 'task-id': this.fault === 'wrongTask' ? 'another-task' : id });
    const half = Math.floor(pieces / 2);
    for (let number = 0; number < pieces; number += 1) {
      await this.#wait((runMs / pieces) * (0.5 + random()));
      if (reply.destroyed) {
        this.abandoned += 1;
        return;
      }
      if (this.fault === 'rubbish' && number === half) reply.write('id: x\nevent: what\ndata: }{\n\n');
      if (this.fault === 'skips' && number === half) continue;
      if ((this.fault === 'cut' || this.fault === 'short') && number === half) return void reply.destroy();
      const piece = `id: ${number}\ndata: ${JSON.stringify({ run, number, of: pieces, text: genuineOutput(`${key} ${number}`) })}\n\n`;
      reply.write(this.fault === 'repeats' && number === half ? piece + piece : piece);
    }
    if (this.fault === 'noClose') reply.end();
    else reply.end(`event: close\ndata: {}\n\n${this.fault === 'long' ? 'id: 99\ndata: {}\n\n' : ''}`);
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, waitMs));
  }
}

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { addressParts } from '@pewterlanding/model';
import type { Address } from '@pewterlanding/model';

/** How one request ended: with a whole response of some status, or with a closed connection after so many bytes of one. */
type Ending = { readonly kind: 'response'; readonly status: number } | { readonly kind: 'closed'; readonly bytes: number };

interface ResponseHead {
  readonly status: number;
  /** Length of the response, head and body. */
  readonly wholeBytes: number | undefined;
  readonly closes: boolean;
}

/** Longer than any head here; the first chunk holds the whole of it. */
const maxTailBytes = 1 << 17;

/** A client on a bare socket, which sees every way in which a connection can end. */
export class RawClient {
  readonly #socket: Socket;
  /** The end of what has been received, enough for the head of a response or the end of its body. */
  #tail = '';
  #bytes = 0;
  #response: ResponseHead | undefined;
  #ended: (ending: Ending) => void = () => undefined;

  constructor(address: Address) {
    const { host, port } = addressParts(address);
    this.#socket = connect({ host, port });
    this.#socket.on('error', () => undefined);
    this.#socket.on('data', (chunk) => this.#read(chunk.toString('latin1')));
    this.#socket.on('close', () => this.#ended({ kind: 'closed', bytes: this.#bytes }));
  }

  /** Whether the last response said that the connection closes, or it has closed. */
  get isOver(): boolean {
    return this.#socket.destroyed || !this.#socket.writable;
  }

  /** Sends a request and resolves with how it ended. */
  send(path: string, id: string): Promise<Ending> {
    this.#tail = '';
    this.#bytes = 0;
    this.#response = undefined;
    return new Promise((resolve) => {
      this.#ended = resolve;
      if (this.#socket.destroyed) resolve({ kind: 'closed', bytes: 0 });
      else this.write(path, id);
    });
  }

  /** Writes a request, whatever is still due for those before. */
  write(path: string, id: string): void {
    const head = `POST ${path} HTTP/1.1\r\nhost: a.example\r\ntask-id: ${id}\r\nexpiry-ms: 5000\r\ncontent-length: 2\r\n\r\n`;
    this.#socket.write(`${head}hi`);
  }

  /** Resolves once everything written has been handed to the system. */
  untilFlushed(): Promise<void> {
    return new Promise((resolve) => this.#socket.write('', () => resolve()));
  }

  /** Resolves once a text has been received. */
  untilReceived(text: string): Promise<void> {
    return new Promise((resolve) => {
      const look = (): void => {
        if (!this.#tail.includes(text)) return;
        this.#socket.off('data', look);
        resolve();
      };
      this.#socket.on('data', look);
    });
  }

  /** Resolves with all that was received from now on, once the connection has ended. */
  untilClosed(): Promise<string> {
    const chunks: Buffer[] = [];
    this.#socket.on('data', (chunk) => chunks.push(chunk));
    return new Promise((resolve) => this.#socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1'))));
  }

  /** Leaves what arrives unread, as a slow client does. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(text: string): void {
    this.#bytes += text.length;
    this.#tail = (this.#tail + text).slice(-maxTailBytes);
    this.#response ??= responseHead(this.#tail);
    if (this.#response === undefined) return;
    const { status, wholeBytes, closes } = this.#response;
    const isWhole = wholeBytes === undefined ? this.#tail.endsWith('0\r\n\r\n') : this.#bytes >= wholeBytes;
    if (!isWhole) return;
    if (closes) this.#socket.end();
    this.#ended({ kind: 'response', status });
  }
}

/** The head of a response, once all of it is there; without `wholeBytes` its body is chunked. */
function responseHead(received: string): ResponseHead | undefined {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = received.slice(0, headEnd + 2);
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  return {
    status: Number(head.slice(9, 12)),
    wholeBytes: length === undefined ? undefined : headEnd + 4 + Number(length),
    closes: /\r\nconnection: close\r\n/i.test(head),
  };
}

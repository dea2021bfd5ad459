package hertzhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"

	"peardrift/internal/status"
)

// bodyReader reads the body of a response that is passed on as it arrives.
type bodyReader interface {
	io.Reader
	// release frees the reader's buffers. It reports whether bytes that don't belong to
	// the response were read from the connection.
	release() (excess bool)
}

// newBodyReader returns a reader of the body that follows a head on r.
func newBodyReader(r io.Reader, length int) bodyReader {
	if length == chunkedLength {
		return newChunkedBody(r)
	}
	return &fixedBody{r: r, left: length}
}

// fixedBody reads a body of known length.
type fixedBody struct {
	r    io.Reader
	left int
}

// Read implements io.Reader. It returns io.EOF together with the last bytes: the codec
// doesn't read on after these.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (*fixedBody) release() bool { return false }

const (
	// chunkBufferBytes also limits the line of a chunk's size, its extensions included, and a
	// trailer's field line.
	chunkBufferBytes = 8 << 10
	// maxTrailerBytes limits the trailers of a response; those of a request have the limit of
	// its headers. They are discarded.
	maxTrailerBytes = 16 << 10
)

var chunkBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, chunkBufferBytes) }}

// chunkedBody reads a body in chunks and the trailers behind it. The codec's own reader
// rejects chunk extensions and accepts trailers of any size.
type chunkedBody struct {
	in       *bufio.Reader // nil once released
	chunks   io.Reader
	trailers int   // limit of their size in bytes
	err      error // of all further reads
}

func newChunkedBody(r io.Reader) *chunkedBody {
	in := chunkBuffers.Get().(*bufio.Reader)
	in.Reset(r)
	return &chunkedBody{in: in, chunks: httputil.NewChunkedReader(in), trailers: maxTrailerBytes}
}

// Read implements io.Reader. It returns io.EOF only after the trailers.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		if err = b.readTrailers(); err == nil {
			err = io.EOF
		}
	}
	if err != nil {
		b.err = chunkError(err)
	}
	return n, b.err
}

func (b *chunkedBody) readTrailers() error {
	for size := 0; ; {
		line, err := b.in.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if size += len(line); size > b.trailers {
			return status.New(status.CodeProtocol, "the trailers exceed %d bytes", b.trailers)
		}
		if line, _ = cutLine(line); len(line) == 0 {
			return nil
		}
		if _, _, err := parseFieldLine(line); err != nil {
			return err
		}
	}
}

// chunkError returns the typed error for chunks that HTTP/1.1 rules out. Other errors are
// those of the connection.
func chunkError(err error) error {
	var broken net.Error
	var typed *status.Error
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) || errors.As(err, &typed) {
		return err
	}
	return status.Wrap(status.CodeProtocol, err, "the body's chunks are invalid")
}

func (b *chunkedBody) release() bool {
	if b.in == nil {
		return false
	}
	excess := b.in.Buffered() > 0
	b.in.Reset(nil)
	chunkBuffers.Put(b.in)
	b.in, b.chunks, b.err = nil, nil, io.ErrClosedPipe
	return excess
}

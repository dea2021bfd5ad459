package hertzhttp

import "github.com/cloudwego/hertz/pkg/common/utils"

// streamBufferBytes is the size of the copy buffer for a body that is streamed.
// hertz's default is 4 KiB, with one read and one write system call per buffer; at
// 32 KiB there are 8 times fewer. Each call that streams a request or response
// body holds one buffer.
const streamBufferBytes = 32 << 10

func init() {
	utils.CopyBufPool.New = func() any { return make([]byte, streamBufferBytes) }
}

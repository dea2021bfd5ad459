package hertzhttp

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/cloudwego/hertz/pkg/protocol/http1/factory"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
)

// protocolFactory makes the codec's server for HTTP/1.1.
type protocolFactory struct{ suite.ServerFactory }

func newProtocolFactory(h *server.Hertz, cfg ServerConfig) *protocolFactory {
	return &protocolFactory{factory.NewServerFactory(&http1.Option{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        cfg.CompressHeaders, // nodes don't use it
		MaxRequestBodySize:           h.GetOptions().MaxRequestBodySize,
		ServerName:                   h.GetServerName(),
		NoDefaultDate:                cfg.NoDate,
		NoDefaultContentType:         true,
		IdleTimeout:                  cfg.IdleTimeout,
		ReadTimeout:                  cfg.ReadTimeout,
	})}
}

// New implements suite.ServerFactory.
func (f *protocolFactory) New(core suite.Core) (protocol.Server, error) {
	return f.ServerFactory.New(unpooledCore{core})
}

// unpooledCore gives each connection a request context of its own. The codec's pool would
// give a new connection the storage of a large request on another one, and it keeps that as
// long as it is open.
type unpooledCore struct{ suite.Core }

// GetCtxPool implements suite.Core.
func (c unpooledCore) GetCtxPool() *sync.Pool {
	return &sync.Pool{New: c.Core.GetCtxPool().New}
}
